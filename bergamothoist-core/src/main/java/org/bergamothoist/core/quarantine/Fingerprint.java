package org.bergamothoist.core.quarantine;

import java.util.Comparator;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Identifies what requests may have in common, independent of their identifiers: their content, or
 * a part of their prompts.
 *
 * @param hexadecimal SHA-256 in lower-case hexadecimal: of organisation, model key and prompt; of
 *     method, host, path, organisation and body; or of service and part
 */
public record Fingerprint(Subject subject, String hexadecimal) implements Comparable<Fingerprint> {

    private static final Comparator<Fingerprint> ORDER =
            Comparator.comparing(Fingerprint::subject).thenComparing(Fingerprint::hexadecimal);

    /** What a fingerprint identifies. */
    public enum Subject {
        /** The whole content of a request. */
        CONTENT,
        /** A part that prompts of different contents share. */
        PART
    }

    /** Enough digits that two contents in one log do not share them. */
    private static final int ABBREVIATED_DIGITS = 16;

    private static final Pattern SHA_256_HEXADECIMAL = Pattern.compile("[0-9a-f]{64}");

    /** Creates the fingerprint of a content. */
    public Fingerprint(String hexadecimal) {
        this(Subject.CONTENT, hexadecimal);
    }

    public Fingerprint {
        if (hexadecimal == null || !SHA_256_HEXADECIMAL.matcher(hexadecimal).matches()) {
            throw new IllegalArgumentException(
                    "fingerprint is not 64 lower-case hexadecimal digits: " + hexadecimal);
        }
    }

    /** Returns the fingerprint in a text, or empty if the text is none. */
    public static Optional<Fingerprint> parse(Subject subject, String text) {
        return SHA_256_HEXADECIMAL.matcher(text).matches()
                ? Optional.of(new Fingerprint(subject, text))
                : Optional.empty();
    }

    /** Returns the fingerprint with the given 32 bytes. */
    public static Fingerprint ofBytes(Subject subject, byte[] bytes) {
        return new Fingerprint(subject, HexFormat.of().formatHex(bytes));
    }

    /** Returns the 32 bytes of the fingerprint. */
    public byte[] toBytes() {
        return HexFormat.of().parseHex(hexadecimal);
    }

    public boolean isPart() {
        return subject == Subject.PART;
    }

    /** Returns the first digits, which identify the content or part in logs. */
    public String abbreviated() {
        return hexadecimal.substring(0, ABBREVIATED_DIGITS);
    }

    @Override
    public int compareTo(Fingerprint other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return hexadecimal;
    }
}
