package org.bergamothoist.core.prefix;

/** Share of inter-event gaps that were late, of about the last five hundred. */
final class LateShare {

    /** Gaps over which one loses most of its weight: a few seconds of a daemon's streams. */
    private static final int WINDOW = 512;

    private long gaps;
    private long lateGaps;
    private double share;

    void add(boolean late) {
        gaps++;
        lateGaps += late ? 1 : 0;
        share += ((late ? 1 : 0) - share) / Math.min(WINDOW, gaps);
    }

    double share() {
        return share;
    }

    long gaps() {
        return gaps;
    }

    long lateGaps() {
        return lateGaps;
    }
}
