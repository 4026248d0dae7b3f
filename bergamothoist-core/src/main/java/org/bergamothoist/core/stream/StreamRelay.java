package org.bergamothoist.core.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.Outcome;

/**
 * Passes pieces of one attempt after another to the caller, numbered without gaps.
 *
 * <p>It holds no pieces: the caller's demand goes to the engine stream, and only what was asked for
 * arrives. Each dispatch has an attempt number; events of any but the current attempt are dropped,
 * so that late answers reach nobody. Safe for use by several threads.
 */
public final class StreamRelay {

    private static final int NO_ATTEMPT = 0;

    private final RequestId requestId;
    private final CompletionListener listener;
    private final InvariantMonitor monitor;
    private final StringBuilder deliveredText = new StringBuilder();
    private final Map<Integer, TargetStream> streams = new HashMap<>();
    private final Map<Integer, Runnable> heldStarts = new HashMap<>();
    private int lastAttempt;
    private int attempt;
    private int hedge;
    private int basePiece;
    private int nextPiece;
    private int deliveredTokens;
    private long demand;
    private boolean attemptCompleted;
    private boolean finished;
    private long lateEvents;

    /** Creates a relay that has delivered nothing yet. */
    public StreamRelay(RequestId requestId, CompletionListener listener, InvariantMonitor monitor) {
        this.requestId = requestId;
        this.listener = listener;
        this.monitor = monitor;
    }

    /**
     * Continues a stream of which the caller already has the first pieces.
     *
     * @param firstPiece index of the first piece to deliver
     * @param text text of the pieces before, empty if unknown
     */
    public synchronized void continueFrom(int firstPiece, String text) {
        nextPiece = firstPiece;
        deliveredTokens = firstPiece;
        deliveredText.append(text);
    }

    /** Starts a new attempt and returns its number; events of earlier attempts are dropped. */
    public synchronized int beginAttempt(int firstPieceOfEngineStream) {
        attempt = ++lastAttempt;
        hedge = NO_ATTEMPT;
        heldStarts.clear();
        attemptCompleted = false;
        basePiece = firstPieceOfEngineStream;
        return attempt;
    }

    /** Starts a new attempt that goes on after what was delivered. */
    public synchronized int beginAttempt() {
        return beginAttempt(nextPiece);
    }

    /**
     * Starts a second attempt beside the current one, which has delivered nothing. The first of the
     * two to deliver a piece or to complete wins; the other one is cancelled.
     */
    public synchronized int beginHedge() {
        hedge = ++lastAttempt;
        return hedge;
    }

    /** Attaches the engine's stream to the attempt and passes the caller's open demand to it. */
    public void attach(int attemptNumber, TargetStream stream) {
        int open;
        synchronized (this) {
            if (!isActive(attemptNumber)) {
                open = -1;
            } else {
                streams.put(attemptNumber, stream);
                open = (int) Math.min(Integer.MAX_VALUE, demand);
            }
        }
        if (open < 0) {
            stream.cancel();
        } else if (open > 0) {
            stream.request(open);
        }
    }

    /** Reports to the caller that an engine has taken the request; held while two attempts run. */
    public synchronized void started(int attemptNumber, ModelKey modelKey, Supplier<String> token) {
        if (isLate(attemptNumber)) {
            return;
        }
        Runnable report = () -> listener.onStart(requestId, modelKey, token.get(), nextPiece);
        if (hedge == NO_ATTEMPT) {
            report.run();
        } else {
            heldStarts.put(attemptNumber, report);
        }
    }

    /**
     * Delivers a piece of the engine's stream.
     *
     * @return whether the piece was the next one; false means that the engine's stream is broken
     */
    public synchronized boolean piece(int attemptNumber, int index, String text, int tokens) {
        if (isLate(attemptNumber)) {
            return true;
        }
        if (basePiece + index != nextPiece || demand == 0) {
            return false;
        }
        decide(attemptNumber);
        demand--;
        deliveredText.append(text);
        deliveredTokens += tokens;
        int piece = nextPiece++;
        listener.onPiece(piece, text, tokens);
        return true;
    }

    /** Notes that the engine's stream ended whole; returns false for a late event. */
    public synchronized boolean completed(int attemptNumber) {
        if (isLate(attemptNumber)) {
            return false;
        }
        decide(attemptNumber);
        attemptCompleted = true;
        return true;
    }

    /** Ends the race of two attempts in favour of one. */
    private void decide(int winner) {
        if (hedge == NO_ATTEMPT) {
            return;
        }
        int loser = winner == attempt ? hedge : attempt;
        attempt = winner;
        hedge = NO_ATTEMPT;
        releaseHeldStart();
        TargetStream stream = streams.remove(loser);
        if (stream != null) {
            stream.cancel();
        }
    }

    /** Drops one of two attempts, because it failed; the other one goes on. */
    public synchronized void dropAttempt(int attemptNumber) {
        streams.remove(attemptNumber);
        if (attemptNumber == attempt && hedge != NO_ATTEMPT) {
            attempt = hedge;
        }
        hedge = NO_ATTEMPT;
        releaseHeldStart();
    }

    private void releaseHeldStart() {
        Runnable start = heldStarts.remove(attempt);
        heldStarts.clear();
        if (start != null) {
            start.run();
        }
    }

    /** Returns whether the attempt is the current one of a stream that has not ended. */
    public synchronized boolean isCurrent(int attemptNumber) {
        return attemptNumber == attempt && !finished;
    }

    private boolean isActive(int attemptNumber) {
        boolean active = attemptNumber == attempt || hedge != NO_ATTEMPT && attemptNumber == hedge;
        return active && !finished;
    }

    /** Passes the caller's demand to the engines. */
    public void request(int pieces) {
        List<TargetStream> open;
        synchronized (this) {
            demand += pieces;
            open = List.copyOf(streams.values());
        }
        open.forEach(stream -> stream.request(pieces));
    }

    /** Cancels the running attempts, whose later events are dropped. */
    public void cancelAttempts() {
        List<TargetStream> open;
        synchronized (this) {
            attempt = ++lastAttempt;
            hedge = NO_ATTEMPT;
            heldStarts.clear();
            open = List.copyOf(streams.values());
            streams.clear();
        }
        open.forEach(TargetStream::cancel);
    }

    /** Ends the stream towards the caller. */
    public void finish(Outcome outcome) {
        synchronized (this) {
            monitor.check(
                    Guarantee.STREAM_ORDER,
                    !finished && (!(outcome instanceof Outcome.Answered) || attemptCompleted),
                    () -> "request " + requestId + " ended twice or without a whole answer");
            finished = true;
            listener.onOutcome(requestId, outcome);
        }
        cancelAttempts();
    }

    private boolean isLate(int attemptNumber) {
        boolean late = !isActive(attemptNumber);
        if (late) {
            lateEvents++;
        }
        return late;
    }

    /** Returns the number of events of earlier attempts that were dropped. */
    public synchronized long lateEvents() {
        return lateEvents;
    }

    /** Returns the text delivered so far. */
    public synchronized String deliveredText() {
        return deliveredText.toString();
    }

    /** Returns the tokens delivered so far. */
    public synchronized int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the index of the next piece. */
    public synchronized int nextPiece() {
        return nextPiece;
    }

    /** Returns the index in the caller's stream of the current engine stream's first piece. */
    public synchronized int basePiece() {
        return basePiece;
    }

    /** Returns whether the caller waits for pieces. */
    public synchronized boolean hasDemand() {
        return demand > 0;
    }
}
