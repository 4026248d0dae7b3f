package org.bergamothoist.daemon.settings;

import java.util.HexFormat;
import java.util.Objects;

/**
 * An operator who may use the operators' interface.
 *
 * @param name the operator's name, recorded with each change
 * @param office the operator's office, recorded with each sheet
 * @param keyDigest hexadecimal SHA-256 of the operator's key
 */
public record OperatorKey(String name, String office, String keyDigest) {

    public OperatorKey {
        Objects.requireNonNull(name);
        Objects.requireNonNull(office);
        Objects.requireNonNull(keyDigest);
    }

    /** Returns the digest as bytes, for a comparison in constant time. */
    public byte[] digestBytes() {
        return HexFormat.of().parseHex(keyDigest);
    }
}
