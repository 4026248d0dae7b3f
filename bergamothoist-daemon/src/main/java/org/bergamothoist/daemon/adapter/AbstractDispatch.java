package org.bergamothoist.daemon.adapter;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetStream;

/**
 * One dispatch to a target. Events are delivered one at a time and in order, those that count only
 * as far as they were requested. While requested events lag behind, no further capacity is given to
 * the connection, so that the target feels the backpressure through TCP.
 */
abstract class AbstractDispatch
        implements TargetStream, AsyncResponseConsumer<Void>, FutureCallback<Void> {

    private static final Logger LOGGER = LogManager.getLogger(AbstractDispatch.class);

    private final Object lock = new Object();
    private final Deque<Delivery> deliveries = new ArrayDeque<>();
    private long demand;
    private int waiting;
    private int unreturnedBytes;
    private boolean delivering;
    private boolean sent;
    private boolean ended;
    private boolean cancelled;
    private CapacityChannel capacity;
    private Future<?> exchange;

    /** Passes {@code onSending} to the listener. */
    protected abstract void deliverSending();

    /** Passes {@code onFailed} to the listener. */
    protected abstract void deliverFailure(TargetFailure failure);

    /** Sets the running exchange, so that it can be aborted. */
    final void running(Future<?> future) {
        boolean abort;
        synchronized (lock) {
            exchange = future;
            abort = cancelled;
        }
        if (abort) {
            future.cancel(true);
        }
    }

    /** Reports the first byte; throws if the dispatch has ended, so that no byte leaves. */
    final void sending() {
        synchronized (lock) {
            if (ended || cancelled) {
                throw new IllegalStateException("dispatch has ended before it was sent");
            }
            sent = true;
            delivering = true;
        }
        try {
            deliverSending();
        } finally {
            synchronized (lock) {
                delivering = false;
            }
        }
        drain();
    }

    @Override
    public final void request(int pieces) {
        if (pieces <= 0) {
            throw new IllegalArgumentException("request must be positive: " + pieces);
        }
        synchronized (lock) {
            demand += pieces;
        }
        drain();
    }

    @Override
    public void cancel() {
        Future<?> future;
        synchronized (lock) {
            cancelled = true;
            deliveries.clear();
            future = exchange;
        }
        if (future != null) {
            future.cancel(true);
        }
    }

    /** Counts bytes read from the connection. */
    protected final void received(int bytes) {
        synchronized (lock) {
            unreturnedBytes += bytes;
        }
    }

    /** Queues an event that needs no request. */
    protected final void deliver(Runnable action) {
        enqueue(new Delivery(false, action), false);
    }

    /** Queues an event that is delivered only when it was requested. */
    protected final void deliverCounted(Runnable action) {
        enqueue(new Delivery(true, action), false);
    }

    /** Queues the last event; later ones are dropped. */
    protected final void end(Runnable action) {
        enqueue(new Delivery(false, action), true);
    }

    /** Ends the dispatch with a failure. */
    protected final void fail(TargetFailure.Kind kind, String message) {
        end(() -> deliverFailure(new TargetFailure(kind, message)));
    }

    /** Ends the dispatch with a failure and closes its connection. */
    protected final void failAndAbort(TargetFailure.Kind kind, String message) {
        fail(kind, message);
        Future<?> future;
        synchronized (lock) {
            future = exchange;
        }
        if (future != null) {
            future.cancel(true);
        }
    }

    /** Ends the dispatch with the failure that a broken connection means. */
    protected final void connectionFailed(String message) {
        TargetFailure.Kind kind;
        synchronized (lock) {
            kind = sent ? TargetFailure.Kind.BROKEN : TargetFailure.Kind.NOT_SENT;
        }
        fail(kind, message);
    }

    /** Returns whether the dispatch is over for the listener. */
    protected final boolean isOver() {
        synchronized (lock) {
            return ended || cancelled;
        }
    }

    private void enqueue(Delivery delivery, boolean last) {
        synchronized (lock) {
            if (ended || cancelled) {
                return;
            }
            ended = last;
            deliveries.add(delivery);
            waiting += delivery.counted() ? 1 : 0;
        }
        drain();
    }

    private void drain() {
        while (true) {
            Delivery next;
            synchronized (lock) {
                next = deliveries.peek();
                if (delivering || next == null || (next.counted() && demand == 0)) {
                    break;
                }
                deliveries.remove();
                demand -= next.counted() ? 1 : 0;
                waiting -= next.counted() ? 1 : 0;
                delivering = true;
            }
            run(next.action());
        }
        returnCapacity();
    }

    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            LOGGER.error("listener of a dispatch failed", exception);
        } finally {
            synchronized (lock) {
                delivering = false;
            }
        }
    }

    /** Lets the connection read on, unless events wait to be requested. */
    private void returnCapacity() {
        CapacityChannel channel;
        int bytes;
        synchronized (lock) {
            channel = capacity;
            bytes = unreturnedBytes;
            if (channel == null || bytes == 0 || waiting > 0) {
                return;
            }
            unreturnedBytes = 0;
        }
        try {
            channel.update(bytes);
        } catch (IOException exception) {
            connectionFailed("connection failed: " + exception);
        }
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) {
        synchronized (lock) {
            capacity = channel;
        }
        returnCapacity();
    }

    @Override
    public final void informationResponse(HttpResponse response, HttpContext context) {
        // Interim answers carry nothing for callers.
    }

    @Override
    public final void completed(Void result) {
        connectionFailed("connection ended before the answer was whole");
    }

    @Override
    public void failed(Exception cause) {
        connectionFailed("connection failed: " + cause);
    }

    @Override
    public final void cancelled() {
        connectionFailed("connection was closed by this daemon");
    }

    @Override
    public final void releaseResources() {
        // Nothing is held beyond this object.
    }

    /** An event for the listener. */
    private record Delivery(boolean counted, Runnable action) {}
}
