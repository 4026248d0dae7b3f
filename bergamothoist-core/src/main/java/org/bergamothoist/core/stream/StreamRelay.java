package org.bergamothoist.core.stream;

import java.util.function.Supplier;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.platform.EngineStream;
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

    private final RequestId requestId;
    private final CompletionListener listener;
    private final InvariantMonitor monitor;
    private final StringBuilder deliveredText = new StringBuilder();
    private int attempt;
    private EngineStream engineStream;
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
        attempt++;
        engineStream = null;
        attemptCompleted = false;
        basePiece = firstPieceOfEngineStream;
        return attempt;
    }

    /** Starts a new attempt that goes on after what was delivered. */
    public synchronized int beginAttempt() {
        return beginAttempt(nextPiece);
    }

    /** Attaches the engine's stream to the attempt and passes the caller's open demand to it. */
    public void attach(int attemptNumber, EngineStream stream) {
        int open;
        synchronized (this) {
            if (attemptNumber != attempt || finished) {
                open = -1;
            } else {
                engineStream = stream;
                open = (int) Math.min(Integer.MAX_VALUE, demand);
            }
        }
        if (open < 0) {
            stream.cancel();
        } else if (open > 0) {
            stream.request(open);
        }
    }

    /** Reports to the caller that an engine has taken the request. */
    public synchronized void started(int attemptNumber, ModelKey modelKey, Supplier<String> token) {
        if (isLate(attemptNumber)) {
            return;
        }
        listener.onStart(requestId, modelKey, token.get(), nextPiece);
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
        attemptCompleted = true;
        return true;
    }

    /** Returns whether the attempt is the current one of a stream that has not ended. */
    public synchronized boolean isCurrent(int attemptNumber) {
        return attemptNumber == attempt && !finished;
    }

    /** Passes the caller's demand to the engine. */
    public void request(int pieces) {
        EngineStream stream;
        synchronized (this) {
            demand += pieces;
            stream = engineStream;
        }
        if (stream != null) {
            stream.request(pieces);
        }
    }

    /** Cancels the current attempt, whose later events are dropped. */
    public void cancelAttempt() {
        EngineStream stream;
        synchronized (this) {
            attempt++;
            stream = engineStream;
            engineStream = null;
        }
        if (stream != null) {
            stream.cancel();
        }
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
        cancelAttempt();
    }

    private boolean isLate(int attemptNumber) {
        boolean late = attemptNumber != attempt || finished;
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
