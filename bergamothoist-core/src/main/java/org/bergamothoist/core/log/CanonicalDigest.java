package org.bergamothoist.core.log;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;

/**
 * Computes a SHA-256 over a sequence of typed values. Strings are prefixed by their length, so that
 * moving characters between adjacent strings changes the digest.
 */
public final class CanonicalDigest {

    private final MessageDigest digest;
    private final ByteBuffer number = ByteBuffer.allocate(Long.BYTES);

    /** Creates a digest without values. */
    public CanonicalDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }

    /** Adds a 64-bit integer. */
    public CanonicalDigest add(long value) {
        digest.update(number.clear().putLong(value).flip());
        return this;
    }

    /** Adds a boolean as the integer 1 or 0. */
    public CanonicalDigest add(boolean value) {
        return add(value ? 1 : 0);
    }

    /** Adds the length in bytes and the UTF-8 bytes of a string. */
    public CanonicalDigest add(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        add(bytes.length);
        digest.update(bytes);
        return this;
    }

    /** Adds an instant with nanosecond precision. */
    public CanonicalDigest add(Instant value) {
        return add(value.getEpochSecond()).add(value.getNano());
    }

    /** Returns the hexadecimal digest of the values added so far and resets this object. */
    public String hexadecimal() {
        return HexFormat.of().formatHex(digest.digest());
    }
}
