package org.bergamothoist.daemon.caller;

import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Reads a request body without blocking, up to a bound. A larger body is read on and dropped before
 * it is refused, since a caller that is still writing would see a reset instead of the refusal.
 */
final class BodyReader implements ReadListener {

    /** Bytes above the bound that are read and dropped before the connection is closed instead. */
    private static final int MAXIMUM_DROPPED_BYTES = 16 * 1024 * 1024;

    private static final int PART_BYTES = 8 * 1024;

    private final ServletInputStream input;
    private final int bound;
    private final Handler handler;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long receivedBytes;

    private BodyReader(ServletInputStream input, int bound, Handler handler) {
        this.input = input;
        this.bound = bound;
        this.handler = handler;
    }

    /** Starts to read a body of at most {@code bound} bytes. */
    static void read(ServletInputStream input, int bound, Handler handler) {
        input.setReadListener(new BodyReader(input, bound, handler));
    }

    @Override
    public void onDataAvailable() throws IOException {
        byte[] part = new byte[PART_BYTES];
        while (input.isReady() && !input.isFinished()) {
            int bytes = input.read(part);
            if (bytes < 0) {
                return;
            }
            receivedBytes += bytes;
            if (receivedBytes <= bound) {
                body.write(part, 0, bytes);
            } else if (receivedBytes > (long) bound + MAXIMUM_DROPPED_BYTES) {
                throw new IOException("request body is far larger than its bound");
            }
        }
    }

    @Override
    public void onAllDataRead() {
        if (receivedBytes > bound) {
            handler.onTooLarge(bound);
        } else {
            handler.onBody(body.toByteArray());
        }
    }

    @Override
    public void onError(Throwable failure) {
        handler.onFailure();
    }

    /** Receives what was read. */
    interface Handler {

        /** Handles the whole body. */
        void onBody(byte[] body);

        /** Handles a body above the bound. */
        void onTooLarge(int bound);

        /** Handles a connection that broke while the body was read. */
        void onFailure();
    }
}
