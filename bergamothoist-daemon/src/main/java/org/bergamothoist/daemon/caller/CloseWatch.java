package org.bergamothoist.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller closed its connection while it waits for an answer. Jetty reads nothing
 * from a connection between a request's last byte and its answer's end, so it would notice only at
 * the next write.
 */
final class CloseWatch implements Callback {

    /** Pipelined bytes read while watching are handed back to the connection. */
    private static final int READ_BYTES = 1024;

    private final EndPoint endPoint;
    private final Connection connection;
    private final Runnable onClosed;
    private boolean registered;
    private boolean ended;

    /**
     * Creates a watch.
     *
     * @param onClosed runs once, on any thread, if the caller closes the connection
     */
    CloseWatch(Connection connection, Runnable onClosed) {
        this.connection = connection;
        this.endPoint = connection.getEndPoint();
        this.onClosed = onClosed;
    }

    /** Starts watching; the request must have been read to its end. */
    void start() {
        synchronized (this) {
            if (!ended) {
                registered = endPoint.tryFillInterested(this);
            }
        }
    }

    /** Stops watching, so that the connection can read the next request. */
    void end() {
        boolean withdraw;
        synchronized (this) {
            withdraw = registered && !ended;
            ended = true;
        }
        if (withdraw && endPoint instanceof AbstractEndPoint endPointWithInterest) {
            endPointWithInterest.getFillInterest().onFail(new EofException("watch ended"));
        }
    }

    /** Closes the connection at once, so that the caller sees that its answer is not whole. */
    void abort() {
        end();
        endPoint.close();
    }

    @Override
    public void succeeded() {
        boolean closed;
        synchronized (this) {
            if (ended) {
                return;
            }
            registered = false;
            closed = read();
            ended = ended || closed;
        }
        if (closed) {
            onClosed.run();
        }
    }

    /** Reads what has arrived; returns whether the caller closed the connection. */
    private boolean read() {
        ByteBuffer buffer = BufferUtil.allocate(READ_BYTES);
        try {
            int bytes = endPoint.fill(buffer);
            if (bytes < 0) {
                return true;
            }
            if (bytes == 0) {
                registered = endPoint.tryFillInterested(this);
                return false;
            }
        } catch (IOException exception) {
            return true;
        }
        // A pipelined request: it proves that the caller lives, and must not be lost.
        ended = true;
        if (connection instanceof Connection.UpgradeTo upgradable) {
            upgradable.onUpgradeTo(buffer);
        } else {
            endPoint.close();
        }
        return false;
    }

    @Override
    public void failed(Throwable cause) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        onClosed.run();
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.BLOCKING;
    }
}
