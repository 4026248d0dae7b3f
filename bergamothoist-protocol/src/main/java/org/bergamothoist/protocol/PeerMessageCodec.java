package org.bergamothoist.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.protocol.generated.PeerMessages;
import org.bergamothoist.protocol.internal.PeerMessageMapper;

/**
 * Converts peer messages to bytes and back. Safe for use by several threads.
 *
 * <p>A relayed tail ends before the first record that this version does not know: passing on {@code
 * Unknown} would make a newer receiver skip a record that it could fold.
 */
public final class PeerMessageCodec {

    /** Returns the bytes of a message. */
    public byte[] encode(PeerMessage message) {
        return PeerMessageMapper.toMessage(message).toByteArray();
    }

    /**
     * Returns the message of the bytes.
     *
     * @throws UnsupportedMessageException if the message is of a kind that is not known
     * @throws ProtocolException if the bytes are malformed
     */
    public PeerMessage decode(byte[] bytes) {
        try {
            return PeerMessageMapper.toPeerMessage(PeerMessages.PeerMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException malformed) {
            throw new ProtocolException("malformed peer message", malformed);
        } catch (ProtocolException invalid) {
            throw invalid;
        } catch (RuntimeException invalid) {
            throw new ProtocolException("peer message with invalid fields", invalid);
        }
    }
}
