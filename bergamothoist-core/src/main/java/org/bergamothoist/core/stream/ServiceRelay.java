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
 * Passes the answer of a plain service to the caller, unchanged. Events of earlier attempts are
 * dropped. Safe for use by several threads.
 */
public final class ServiceRelay {

    private final RequestId requestId;
    private final ServiceResponseListener listener;
    private final InvariantMonitor monitor;
    private int attempt;
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
        attempt++;
        stream = null;
        return attempt;
    }

    /** Attaches the target's answer to the attempt. */
    public void attach(int attemptNumber, TargetStream answer) {
        int open;
        synchronized (this) {
            if (attemptNumber != attempt || finished) {
                open = -1;
            } else {
                stream = answer;
                open = (int) Math.min(Integer.MAX_VALUE, demand);
            }
        }
        if (open < 0) {
            answer.cancel();
        } else if (open > 0) {
            answer.request(open);
        }
    }

    /** Delivers status and headers. */
    public synchronized void head(
            int attemptNumber, int status, Map<String, List<String>> headers) {
        if (attemptNumber != attempt || finished) {
            return;
        }
        headDelivered = true;
        listener.onHead(requestId, status, headers);
    }

    /** Delivers a part of the body. */
    public synchronized void body(int attemptNumber, ByteBuffer part) {
        if (attemptNumber != attempt || finished) {
            return;
        }
        demand--;
        listener.onBody(part);
    }

    /** Notes that the answer ended whole; returns false for a late event. */
    public synchronized boolean completed(int attemptNumber) {
        if (attemptNumber != attempt || finished) {
            return false;
        }
        attemptCompleted = true;
        return true;
    }

    /** Returns whether the attempt is the current one of a call that has not ended. */
    public synchronized boolean isCurrent(int attemptNumber) {
        return attemptNumber == attempt && !finished;
    }

    /** Returns whether the caller already has the head of an answer. */
    public synchronized boolean headDelivered() {
        return headDelivered;
    }

    /** Passes the caller's demand to the target's answer. */
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

    /** Cancels the current attempt, whose later events are dropped. */
    public void cancelAttempt() {
        TargetStream current;
        synchronized (this) {
            attempt++;
            current = stream;
            stream = null;
        }
        if (current != null) {
            current.cancel();
        }
    }

    /** Ends the call towards the caller. */
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
