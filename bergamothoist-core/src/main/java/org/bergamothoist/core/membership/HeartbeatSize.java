package org.bergamothoist.core.membership;

import java.nio.charset.StandardCharsets;

/**
 * Upper bounds of the encoded sizes of a heartbeat's parts, in bytes. This module does not encode
 * messages itself; a test in the protocol module compares these bounds with encoded heartbeats.
 */
final class HeartbeatSize {

    /** Fixed part: status, sequence, ages, offset, flag, and the tags of message and heartbeat. */
    static final int FIXED = 46;

    /**
     * Digest without members: tag, length, roster key, age, and the tags and lengths of the packed
     * fields.
     */
    static final int DIGEST = 34;

    /** Additional size of a digest's member that does not serve: its position. */
    static final int NON_SERVING_MEMBER = 2;

    /** Tag and length of a string or message field. */
    private static final int TAG_AND_LENGTH = 3;

    /** Payload bits in each byte of a variable-length integer. */
    private static final int VARINT_BITS = 7;

    private HeartbeatSize() {}

    /** Returns the size of a string field. */
    static int string(String text) {
        return TAG_AND_LENGTH + text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the size of a map entry with a name and one or two numbers. */
    static int entry(String name, int first, int second) {
        return TAG_AND_LENGTH + string(name) + 1 + varint(first) + 1 + varint(second);
    }

    /** Returns the size of a variable-length integer. */
    static int varint(long value) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(value | 1);
        return (bits + VARINT_BITS - 1) / VARINT_BITS;
    }
}
