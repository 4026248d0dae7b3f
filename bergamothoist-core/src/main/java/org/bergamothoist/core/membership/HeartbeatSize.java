package org.bergamothoist.core.membership;

import java.nio.charset.StandardCharsets;

/**
 * Upper bounds of encoded sizes, in bytes. The core does not know the encoding; a test in the
 * protocol module compares these bounds with the encoded heartbeats.
 */
final class HeartbeatSize {

    /** Status, sequence, ages, offset, flag, and the tags of message and heartbeat. */
    static final int FIXED = 46;

    /** Tag, length, roster key, age and the tags and lengths of the packed fields. */
    static final int DIGEST = 34;

    /** Position of a member that does not serve. */
    static final int EXCEPTION = 2;

    private static final int TAG_AND_LENGTH = 3;
    private static final int VARINT_BITS = 7;

    private HeartbeatSize() {}

    static int text(String text) {
        return TAG_AND_LENGTH + text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the size of an entry with a name and one or two numbers. */
    static int entry(String name, int first, int second) {
        return TAG_AND_LENGTH + text(name) + 1 + varint(first) + 1 + varint(second);
    }

    static int varint(long value) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(value | 1);
        return (bits + VARINT_BITS - 1) / VARINT_BITS;
    }
}
