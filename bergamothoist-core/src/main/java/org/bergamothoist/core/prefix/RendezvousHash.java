package org.bergamothoist.core.prefix;

/** Scores of rendezvous hashing, by which all daemons rank candidates for a key alike. */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Returns the score of a candidate for a key; the candidate with an extreme score is chosen.
     */
    public static long score(String candidate, String key) {
        long mixed = candidate.hashCode() * 0x9E3779B97F4A7C15L ^ key.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
