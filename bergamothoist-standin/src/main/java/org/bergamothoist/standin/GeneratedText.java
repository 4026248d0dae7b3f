package org.bergamothoist.standin;

import org.bergamothoist.core.prompt.Prompt;

/**
 * The text that engine stand-ins generate. Each character depends on the prompt and its position
 * only, so a test can tell whether an answer is whole, in order and belongs to its prompt.
 */
public final class GeneratedText {

    /** Characters of one generated token; all are ASCII. */
    public static final int CHARACTERS_PER_TOKEN = Prompt.BYTES_PER_TOKEN;

    private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz012345";
    private static final int BITS_PER_CHARACTER = 5;
    private static final int CHARACTERS_PER_WORD = 12;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long seed;

    private GeneratedText(long seed) {
        this.seed = seed;
    }

    /** Returns the text that follows the prompt. */
    public static GeneratedText of(String prompt) {
        long hash = FNV_OFFSET;
        for (int index = 0; index < prompt.length(); index++) {
            hash = (hash ^ prompt.charAt(index)) * FNV_PRIME;
        }
        return new GeneratedText(hash);
    }

    /** Returns the whole answer to the prompt when this many tokens are generated. */
    public static String expected(String prompt, int tokens) {
        return of(prompt).slice(0, tokens * CHARACTERS_PER_TOKEN);
    }

    /** Returns the characters from one position to before another. */
    public String slice(int from, int to) {
        StringBuilder text = new StringBuilder(to - from);
        for (int position = from; position < to; position++) {
            long word = mix(seed + position / CHARACTERS_PER_WORD);
            int shift = position % CHARACTERS_PER_WORD * BITS_PER_CHARACTER;
            text.append(ALPHABET.charAt((int) (word >>> shift) & (ALPHABET.length() - 1)));
        }
        return text.toString();
    }

    private static long mix(long value) {
        long mixed = value * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
