package org.bergamothoist.core.stream;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ServiceResponseListener;

/**
 * Forwards the response of a plain service to the caller unchanged. Events of any attempt but the
 * current one are dropped. Thread-safe.
 */
public final class ServiceRelay {

    private final RequestId requestId;
    private final ServiceResponseListener listener;
    private final InvariantMonitor monitor;
    private int currentAttempt;
    private TargetStream stream;
    private long demand;
    private boolean headDelivered;
    private boolean attemptCompleted;
    private boolean finished;

    /** Creates a relay that has delivered nothing yet. */
    public ServiceRelay(
            RequestId requestId, ServiceResponseListener listener, InvariantMonitor monitor) {
        this.requestId = requestId;
        this.listener = listener;
        this.monitor = monitor;
    }

    /** Starts a new attempt and returns its number. */
    public synchronized int beginAttempt() {
        currentAttempt++;
        stream = null;
        return currentAttempt;
    }

    /**
     * Attaches the target's response stream to the attempt and requests the caller's open demand
     * from it.
     */
    public void attach(int attemptNumber, TargetStream targetStream) {
        int initialDemand;
        synchronized (this) {
            if (attemptNumber != currentAttempt || finished) {
                initialDemand = -1;
            } else {
                stream = targetStream;
                initialDemand = (int) Math.min(Integer.MAX_VALUE, demand);
            }
        }
        if (initialDemand < 0) {
            targetStream.cancel();
        } else if (initialDemand > 0) {
            targetStream.request(initialDemand);
        }
    }

    /** Delivers the status and headers of the response. */
    public synchronized void deliverHead(
            int attemptNumber, int status, Map<String, List<String>> headers) {
        if (attemptNumber != currentAttempt || finished) {
            return;
        }
        headDelivered = true;
        listener.onHead(requestId, status, headers);
    }

    /** Delivers a part of the response body. */
    public synchronized void deliverBody(int attemptNumber, ByteBuffer part) {
        if (attemptNumber != currentAttempt || finished) {
            return;
        }
        demand--;
        listener.onBody(part);
    }

    /** Records that the response is complete; returns false if the attempt is no longer current. */
    public synchronized boolean complete(int attemptNumber) {
        if (attemptNumber != currentAttempt || finished) {
            return false;
        }
        attemptCompleted = true;
        return true;
    }

    /** Returns whether the attempt is current and the call has not ended. */
    public synchronized boolean isCurrent(int attemptNumber) {
        return attemptNumber == currentAttempt && !finished;
    }

    /** Returns whether the caller has received the head of a response. */
    public synchronized boolean headDelivered() {
        return headDelivered;
    }

    /** Adds to the caller's demand and passes it on to the target's response stream. */
    public void request(int parts) {
        TargetStream current;
        synchronized (this) {
            demand += parts;
            current = stream;
        }
        if (current != null) {
            current.request(parts);
        }
    }

    /** Cancels the current attempt; its later events are dropped. */
    public void cancelAttempt() {
        TargetStream current;
        synchronized (this) {
            currentAttempt++;
            current = stream;
            stream = null;
        }
        if (current != null) {
            current.cancel();
        }
    }

    /** Reports the outcome of the call to the caller and cancels the current attempt. */
    public void finish(Outcome outcome) {
        synchronized (this) {
            monitor.check(
                    Guarantee.ANSWER_OWNERSHIP,
                    !finished && (!(outcome instanceof Outcome.Answered) || attemptCompleted),
                    () -> "call " + requestId + " ended twice or without a whole answer");
            finished = true;
            listener.onOutcome(requestId, outcome);
        }
        cancelAttempt();
    }
}
