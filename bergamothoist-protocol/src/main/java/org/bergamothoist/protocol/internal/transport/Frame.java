package org.bergamothoist.protocol.internal.transport;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import org.bergamothoist.core.timeline.Timestamp;
import org.bergamothoist.protocol.ProtocolException;

/**
 * The content of a frame, without length and MAC.
 *
 * @param kind what the payload is
 * @param stamp the sender's clock when the frame was written
 * @param composedAt the sender's uptime when the message was made, in milliseconds
 */
public record Frame(Kind kind, Timestamp stamp, long composedAt, byte[] payload) {

    private static final int MAXIMUM_HEAD_BYTES = 32;

    /** What a payload is. */
    public enum Kind {
        /** The sender's identity, as the first frame only. */
        HELLO,
        /** A whole message. */
        MESSAGE,
        /** A part of a message; more follow. */
        PART,
        /** The last part of a message. */
        LAST_PART
    }

    /** Returns the encoded form. */
    public byte[] encode() {
        byte[] head = new byte[MAXIMUM_HEAD_BYTES];
        CodedOutputStream output = CodedOutputStream.newInstance(head);
        try {
            output.writeUInt32NoTag(kind.ordinal());
            output.writeUInt64NoTag(stamp.milliseconds());
            output.writeUInt32NoTag(stamp.counter());
            output.writeUInt64NoTag(composedAt);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        int headLength = output.getTotalBytesWritten();
        byte[] bytes = Arrays.copyOf(head, headLength + payload.length);
        System.arraycopy(payload, 0, bytes, headLength, payload.length);
        return bytes;
    }

    /**
     * Reads the encoded form that starts at the offset.
     *
     * @throws ProtocolException if it is malformed
     */
    static Frame decode(byte[] bytes, int offset) {
        CodedInputStream input = CodedInputStream.newInstance(bytes, offset, bytes.length - offset);
        try {
            int kind = input.readUInt32();
            Timestamp stamp = new Timestamp(input.readUInt64(), input.readUInt32());
            long composedAt = input.readUInt64();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new ProtocolException("frame of an unknown kind");
            }
            int start = offset + input.getTotalBytesRead();
            byte[] payload = Arrays.copyOfRange(bytes, start, bytes.length);
            return new Frame(Kind.values()[kind], stamp, composedAt, payload);
        } catch (IOException truncated) {
            throw new ProtocolException("frame with a truncated head", truncated);
        }
    }
}
