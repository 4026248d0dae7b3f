package org.bergamothoist.daemon.caller;

import jakarta.servlet.AsyncContext;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.AsyncListener;
import jakarta.servlet.ServletOutputStream;
import jakarta.servlet.WriteListener;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/**
 * Writes an answer to a caller without blocking. Parts that the connection does not take yet are
 * queued; {@link DemandControl} bounds how many there are.
 */
final class CallerConnection {

    private final Object lock = new Object();
    private final AsyncContext context;
    private final HttpServletResponse response;
    private final ServletOutputStream output;
    private final CloseWatch watch;
    private final Deque<byte[]> parts = new ArrayDeque<>();
    private int bufferedBytes;
    private boolean unflushed;
    private boolean ended;
    private boolean over;
    private boolean gone;
    private Runnable onProgress = () -> {};
    private Runnable onClosed = () -> {};

    /** Puts the request into asynchronous mode and starts to listen. */
    CallerConnection(HttpServletRequest request, HttpServletResponse response) throws IOException {
        this.response = response;
        context = request.startAsync();
        context.setTimeout(0);
        context.addListener(new FailureListener());
        output = response.getOutputStream();
        watch =
                new CloseWatch(
                        ServletContextRequest.getServletContextRequest(request)
                                .getConnectionMetaData()
                                .getConnection(),
                        this::closed);
        output.setWriteListener(new OutputListener());
    }

    /**
     * Sets what reacts to the connection; to be called before the first part.
     *
     * @param progress runs after parts were written, or dropped because the caller is gone
     * @param close runs once if the caller closes the connection before the answer's end
     */
    void react(Runnable progress, Runnable close) {
        boolean alreadyGone;
        synchronized (lock) {
            onProgress = progress;
            onClosed = close;
            alreadyGone = gone;
        }
        if (alreadyGone) {
            close.run();
        }
    }

    /** Starts to watch for the caller's close; the request must have been read to its end. */
    void watchForClose() {
        watch.start();
    }

    /** Sets status and headers; to be called before the first part. */
    void head(int status, Map<String, List<String>> headers) {
        synchronized (lock) {
            if (over) {
                return;
            }
            response.setStatus(status);
            headers.forEach(
                    (name, values) -> values.forEach(value -> response.addHeader(name, value)));
        }
    }

    /** Queues a part of the body; drops it if the caller is gone. */
    void write(byte[] part) {
        synchronized (lock) {
            if (over) {
                return;
            }
            parts.add(part);
            bufferedBytes += part.length;
        }
        flush();
    }

    /** Ends the answer after the queued parts. */
    void end() {
        synchronized (lock) {
            ended = true;
        }
        flush();
    }

    /** Closes the connection, so that the caller sees that its answer is not whole. */
    void abort() {
        if (finish()) {
            watch.abort();
            context.complete();
        }
    }

    /** Returns the bytes that the connection has not taken yet. */
    int bufferedBytes() {
        synchronized (lock) {
            return bufferedBytes;
        }
    }

    private void flush() {
        boolean complete = false;
        boolean failed = false;
        synchronized (lock) {
            if (over) {
                return;
            }
            try {
                complete = writeWhileReady();
                over = complete;
            } catch (IOException exception) {
                failed = true;
            }
        }
        if (failed) {
            closed();
        } else if (complete) {
            watch.end();
            context.complete();
        } else {
            progress();
        }
    }

    private void progress() {
        Runnable reaction;
        synchronized (lock) {
            reaction = onProgress;
        }
        reaction.run();
    }

    /** Writes as much as the connection takes; returns whether the answer is complete. */
    private boolean writeWhileReady() throws IOException {
        while (output.isReady()) {
            byte[] part = parts.poll();
            if (part != null) {
                output.write(part);
                bufferedBytes -= part.length;
                unflushed = true;
            } else if (ended) {
                return true;
            } else if (unflushed) {
                output.flush();
                unflushed = false;
            } else {
                return false;
            }
        }
        return false;
    }

    private void closed() {
        Runnable reaction;
        synchronized (lock) {
            if (!finish()) {
                return;
            }
            gone = true;
            reaction = onClosed;
        }
        watch.end();
        reaction.run();
        context.complete();
    }

    private boolean finish() {
        synchronized (lock) {
            if (over) {
                return false;
            }
            over = true;
            parts.clear();
            bufferedBytes = 0;
            return true;
        }
    }

    /** Continues when the connection takes more. */
    private final class OutputListener implements WriteListener {

        @Override
        public void onWritePossible() {
            flush();
        }

        @Override
        public void onError(Throwable failure) {
            closed();
        }
    }

    /** Reacts to failures that the container notices. */
    private final class FailureListener implements AsyncListener {

        @Override
        public void onComplete(AsyncEvent event) {
            // The answer has ended.
        }

        @Override
        public void onTimeout(AsyncEvent event) {
            closed();
        }

        @Override
        public void onError(AsyncEvent event) {
            closed();
        }

        @Override
        public void onStartAsync(AsyncEvent event) {
            // Requests are put into asynchronous mode once.
        }
    }
}
