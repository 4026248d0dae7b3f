package org.bergamothoist.protocol.internal;

import com.google.protobuf.ByteString;
import org.bergamothoist.protocol.ProtocolException;

/** Packs small numbers into equal numbers of bits, lowest bit first. */
final class BitPacking {

    private static final int ALL_BITS = 0xff;

    private BitPacking() {}

    /** Returns how many bits hold the numbers from 0 up to, but not including, the count. */
    static int bitsFor(int count) {
        return count <= 1 ? 0 : Integer.SIZE - Integer.numberOfLeadingZeros(count - 1);
    }

    /** Packs the values; unused bits of the last byte are set. */
    static ByteString pack(int[] values, int bits) {
        int used = values.length * bits;
        byte[] bytes = new byte[(used + Byte.SIZE - 1) / Byte.SIZE];
        for (int bit = 0; bit < bytes.length * Byte.SIZE; bit++) {
            boolean set = bit >= used || (values[bit / bits] >> (bit % bits) & 1) == 1;
            if (set) {
                bytes[bit / Byte.SIZE] |= (byte) (1 << (bit % Byte.SIZE));
            }
        }
        return ByteString.copyFrom(bytes);
    }

    /**
     * Returns the value at the index.
     *
     * @throws ProtocolException if the bytes are too short
     */
    static int unpack(ByteString bytes, int index, int bits) {
        if ((index + 1) * bits > bytes.size() * Byte.SIZE) {
            throw new ProtocolException("packed numbers are truncated");
        }
        int value = 0;
        for (int bit = 0; bit < bits; bit++) {
            int position = index * bits + bit;
            int source = bytes.byteAt(position / Byte.SIZE) & ALL_BITS;
            value |= (source >> (position % Byte.SIZE) & 1) << bit;
        }
        return value;
    }
}
