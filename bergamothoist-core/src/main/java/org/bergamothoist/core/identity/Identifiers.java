package org.bergamothoist.core.identity;

import java.util.regex.Pattern;

/** Validates the text form of identifiers. */
final class Identifiers {

    /** Maximum length of an identifier, in characters. */
    private static final int MAXIMUM_LENGTH = 128;

    private static final Pattern ALLOWED =
            Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{M}\\p{N}._:@&+ -]*");

    private Identifiers() {}

    /**
     * Returns the value if it is a well-formed identifier.
     *
     * @param kind what the value identifies, for the error message
     * @throws IllegalArgumentException if the value is not well-formed
     */
    static String require(String kind, String value) {
        if (value == null || value.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException("not a valid " + kind + ": '" + value + "'");
        }
        return value;
    }
}
