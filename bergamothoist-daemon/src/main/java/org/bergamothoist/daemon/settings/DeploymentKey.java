package org.bergamothoist.daemon.settings;

/** The secret that all daemons of a deployment share; its text form hides the value. */
public final class DeploymentKey {

    /** Shortest accepted key, in bytes: the output size of HMAC-SHA-256. */
    public static final int MINIMUM_BYTES = 32;

    private final byte[] bytes;

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if it is shorter than {@value #MINIMUM_BYTES} bytes
     */
    public DeploymentKey(byte[] bytes) {
        if (bytes.length < MINIMUM_BYTES) {
            throw new IllegalArgumentException(
                    "must have at least " + MINIMUM_BYTES + " bytes, has " + bytes.length);
        }
        this.bytes = bytes.clone();
    }

    /** Returns a copy of the key. */
    public byte[] bytes() {
        return bytes.clone();
    }

    @Override
    public String toString() {
        return "DeploymentKey[hidden]";
    }
}
