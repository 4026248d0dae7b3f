package org.bergamothoist.core.identity;

import java.util.regex.Pattern;

/** Checks the text form of identifiers. */
final class Identifiers {

    /** Longest identifier accepted from any input, in characters. */
    private static final int MAXIMUM_LENGTH = 128;

    private static final Pattern ALLOWED =
            Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{M}\\p{N}._:@&+ -]*");

    private Identifiers() {}

    /** Returns the value if it is a well-formed identifier. */
    static String require(String kind, String value) {
        if (value == null || value.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException("not a valid " + kind + ": '" + value + "'");
        }
        return value;
    }
}
