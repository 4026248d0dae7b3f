package org.bergamothoist.core.log;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;

/**
 * Computes a SHA-256 over typed values. Texts are preceded by their length, so that adjacent values
 * cannot be exchanged without a change of the digest.
 */
public final class CanonicalDigest {

    private final MessageDigest digest;
    private final ByteBuffer number = ByteBuffer.allocate(Long.BYTES);

    /** Creates the digest of no values. */
    public CanonicalDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }

    /** Adds a number. */
    public CanonicalDigest add(long value) {
        digest.update(number.clear().putLong(value).flip());
        return this;
    }

    /** Adds a truth value. */
    public CanonicalDigest add(boolean value) {
        return add(value ? 1 : 0);
    }

    /** Adds a text. */
    public CanonicalDigest add(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        add(bytes.length);
        digest.update(bytes);
        return this;
    }

    /** Adds an instant, to the nanosecond. */
    public CanonicalDigest add(Instant value) {
        return add(value.getEpochSecond()).add(value.getNano());
    }

    /** Returns the digest of all values in hexadecimal; further use starts anew. */
    public String hexadecimal() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
