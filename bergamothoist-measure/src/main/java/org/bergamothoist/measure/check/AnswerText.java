package org.bergamothoist.measure.check;

import org.bergamothoist.core.identity.ModelKey;

/**
 * The text that a fake engine generates. It depends on prompt, model key and position only, so that
 * a piece of another request, version or position is recognised.
 */
final class AnswerText {

    private static final int SHORTEST = 3;
    private static final int LENGTHS = 60;

    private AnswerText() {}

    static String piece(String prompt, ModelKey key, int index) {
        int hash = 31 * (31 * prompt.hashCode() + key.toString().hashCode()) + index;
        return "<" + index + "." + key.version() + "." + Integer.toHexString(hash) + ">";
    }

    /** Returns the number of pieces of the whole answer. */
    static int length(String prompt, ModelKey key, int maximumTokens) {
        int natural =
                SHORTEST + Math.floorMod(prompt.hashCode() ^ key.toString().hashCode(), LENGTHS);
        return Math.min(maximumTokens, natural);
    }

    /** Returns the number of pieces in a text. */
    static int count(String text) {
        return (int) text.chars().filter(character -> character == '<').count();
    }
}
