package org.bergamothoist.protocol.internal.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.bergamothoist.core.identity.DaemonId;

/**
 * Computes the MACs of one connection's frames. A MAC covers the receiver's challenge, sender and
 * receiver, the number of the frame on the connection, and its content. Challenge and number make a
 * replayed, dropped or reordered frame fail; the receiver's address keeps a daemon that poses as
 * another one from passing on what it gets. Not safe for use by several threads.
 */
public final class FrameAuthenticator {

    /** Bytes of a MAC. */
    public static final int MAC_BYTES = 32;

    /** Bytes of a challenge. */
    public static final int CHALLENGE_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";
    private static final byte[] LABEL =
            "bergamothoist-peer-frame-1".getBytes(StandardCharsets.US_ASCII);

    private final Mac mac;
    private final byte[] prefix;
    private long frames;

    /**
     * Creates the authenticator of one connection.
     *
     * @param key the deployment key
     * @param challenge random bytes that the receiver chose for the connection
     */
    public FrameAuthenticator(
            byte[] key,
            byte[] challenge,
            DaemonId sender,
            String senderAddress,
            String receiverAddress) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("HMAC-SHA-256 is not available", missing);
        }
        byte[] name = sender.name().getBytes(StandardCharsets.UTF_8);
        byte[] from = senderAddress.getBytes(StandardCharsets.UTF_8);
        byte[] to = receiverAddress.getBytes(StandardCharsets.UTF_8);
        int fixed = LABEL.length + challenge.length + Long.BYTES + 3 * Integer.BYTES;
        ByteBuffer buffer =
                ByteBuffer.allocate(fixed + name.length + from.length + to.length)
                        .put(LABEL)
                        .put(challenge)
                        .putLong(sender.incarnation());
        for (byte[] text : new byte[][] {name, from, to}) {
            buffer.putInt(text.length).put(text);
        }
        prefix = buffer.array();
    }

    /** Returns the MAC of the next frame. */
    public byte[] next(byte[] content, int offset, int length) {
        mac.update(prefix);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(frames).flip());
        frames++;
        mac.update(content, offset, length);
        return mac.doFinal();
    }

    /** Returns whether a frame, MAC first, is the authentic next one. */
    public boolean verifyNext(byte[] frame) {
        if (frame.length < MAC_BYTES) {
            return false;
        }
        byte[] expected = next(frame, MAC_BYTES, frame.length - MAC_BYTES);
        byte[] actual = Arrays.copyOf(frame, MAC_BYTES);
        return MessageDigest.isEqual(expected, actual);
    }
}
