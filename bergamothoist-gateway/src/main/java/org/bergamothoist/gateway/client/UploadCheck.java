package org.bergamothoist.gateway.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpConstants;
import java.util.function.Consumer;

/**
 * Finds out whether a peer took the whole body of a request, once it has ended an answer without a
 * length in order. Bytes that the own socket has accepted may never be read.
 *
 * <p>A peer that closes its socket before the whole body came, or without reading it, resets the
 * connection; a reset that follows on the end of its bytes shows only on writing. An empty line,
 * which servers ignore after a request (RFC 9112, section 2.2), is written therefore. If that does
 * not fail, but a second one does after a round trip, the first one was answered with the reset:
 * the socket had been closed, with nothing left to read. A socket that is closed for writing only
 * resets nothing, and may hold an unread body.
 */
public final class UploadCheck {

    /**
     * Size of a request, in bytes, that is sent at once without an acknowledgement, so that a reset
     * has come before the end of its answer is checked: ten segments (RFC 6928).
     */
    static final int FIRST_FLIGHT_BYTES = 14_600;

    private static final byte[] EMPTY_LINE = {HttpConstants.CR, HttpConstants.LF};

    private final Channel channel;
    private final Consumer<Consumer<Boolean>> roundTrip;
    private final Consumer<Result> receiver;

    /** What is known of the body of a request. */
    public enum Result {
        /** The peer read it to its end, or it is so short that a reset would have come. */
        TAKEN,
        /** The peer reset the connection. */
        RESET,
        /** The peer keeps the connection open, or can't be reached. */
        UNPROVEN
    }

    /**
     * Creates a check.
     *
     * @param roundTrip passes on whether a round trip to the peer, begun when it is called, is over
     */
    UploadCheck(Channel channel, Consumer<Consumer<Boolean>> roundTrip, Consumer<Result> receiver) {
        this.channel = channel;
        this.roundTrip = roundTrip;
        this.receiver = receiver;
    }

    /** Begins the check of a request with a body that has been written. */
    void start(long requestBytes) {
        if (requestBytes <= FIRST_FLIGHT_BYTES) {
            write(written -> receiver.accept(written ? Result.TAKEN : Result.RESET));
            return;
        }
        writeAfterRoundTrip(this::onFirstLine);
    }

    private void onFirstLine(boolean written) {
        if (!written) {
            receiver.accept(Result.RESET);
            return;
        }
        writeAfterRoundTrip(again -> receiver.accept(again ? Result.UNPROVEN : Result.TAKEN));
    }

    private void writeAfterRoundTrip(Consumer<Boolean> onWritten) {
        roundTrip.accept(
                over -> {
                    if (over) {
                        write(onWritten);
                    } else {
                        receiver.accept(Result.UNPROVEN);
                    }
                });
    }

    private void write(Consumer<Boolean> onWritten) {
        // Bypasses the encoder of requests, which knows no bytes between them.
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                .addListener(done -> onWritten.accept(done.isSuccess()));
    }
}
