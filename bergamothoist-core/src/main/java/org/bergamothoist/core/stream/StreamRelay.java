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
 * Delivers one gapless stream of pieces to the caller, from consecutive or hedged attempts.
 *
 * <p>Pieces are not buffered: the caller's demand is passed on to the engine's stream, which
 * delivers only what was requested. Each dispatch has an attempt number; events of attempts that
 * are no longer active are dropped, so that late responses never reach the caller. Thread-safe.
 */
public final class StreamRelay {

    private static final int NO_ATTEMPT = 0;

    private final RequestId requestId;
    private final CompletionListener listener;
    private final InvariantMonitor monitor;
    private final StringBuilder deliveredText = new StringBuilder();
    private final Map<Integer, TargetStream> streams = new HashMap<>();
    private final Map<Integer, Runnable> deferredStarts = new HashMap<>();
    private int lastAttempt;
    private int currentAttempt;
    private int hedgeAttempt;
    private int pieceOffset;
    private int nextPiece;
    private int deliveredTokens;
    private long demand;
    private boolean attemptCompleted;
    private boolean finished;
    private long droppedEvents;

    /** Creates a relay that has delivered nothing yet. */
    public StreamRelay(RequestId requestId, CompletionListener listener, InvariantMonitor monitor) {
        this.requestId = requestId;
        this.listener = listener;
        this.monitor = monitor;
    }

    /**
     * Continues a stream whose first pieces the caller already has.
     *
     * @param firstPiece index of the first piece to deliver
     * @param text text of the earlier pieces, empty if unknown
     */
    public synchronized void continueFrom(int firstPiece, String text) {
        nextPiece = firstPiece;
        deliveredTokens = firstPiece;
        deliveredText.append(text);
    }

    /**
     * Starts a new attempt and returns its number; events of earlier attempts are dropped.
     *
     * @param offset index in the caller's stream of the first piece of the engine's stream
     */
    public synchronized int beginAttempt(int offset) {
        currentAttempt = ++lastAttempt;
        hedgeAttempt = NO_ATTEMPT;
        deferredStarts.clear();
        attemptCompleted = false;
        pieceOffset = offset;
        return currentAttempt;
    }

    /** Starts a new attempt that continues after the pieces delivered so far. */
    public synchronized int beginAttempt() {
        return beginAttempt(nextPiece);
    }

    /**
     * Starts a hedge: a second attempt that runs concurrently with the current one, which has
     * delivered nothing yet. The first of the two to deliver a piece or to complete wins; the other
     * is cancelled.
     */
    public synchronized int beginHedge() {
        hedgeAttempt = ++lastAttempt;
        return hedgeAttempt;
    }

    /**
     * Attaches the engine's stream to the attempt and requests the caller's open demand from it.
     */
    public void attach(int attemptNumber, TargetStream stream) {
        int initialDemand;
        synchronized (this) {
            if (!isActive(attemptNumber)) {
                initialDemand = -1;
            } else {
                streams.put(attemptNumber, stream);
                initialDemand = (int) Math.min(Integer.MAX_VALUE, demand);
            }
        }
        if (initialDemand < 0) {
            stream.cancel();
        } else if (initialDemand > 0) {
            stream.request(initialDemand);
        }
    }

    /**
     * Reports to the caller that an engine has accepted the request; deferred until a hedge is
     * decided.
     */
    public synchronized void deliverStart(
            int attemptNumber, ModelKey modelKey, Supplier<String> token) {
        if (isObsolete(attemptNumber)) {
            return;
        }
        Runnable report = () -> listener.onStart(requestId, modelKey, token.get(), nextPiece);
        if (hedgeAttempt == NO_ATTEMPT) {
            report.run();
        } else {
            deferredStarts.put(attemptNumber, report);
        }
    }

    /**
     * Delivers a piece of the engine's stream.
     *
     * @return false if the engine broke the protocol: the piece is not the next one, or the caller
     *     has no demand; true otherwise, also if the piece was dropped
     */
    public synchronized boolean deliverPiece(
            int attemptNumber, int index, String text, int tokens) {
        if (isObsolete(attemptNumber)) {
            return true;
        }
        if (pieceOffset + index != nextPiece || demand == 0) {
            return false;
        }
        selectWinner(attemptNumber);
        demand--;
        deliveredText.append(text);
        deliveredTokens += tokens;
        int piece = nextPiece++;
        listener.onPiece(piece, text, tokens);
        return true;
    }

    /**
     * Records that the engine's stream is complete; returns false if the attempt is no longer
     * active.
     */
    public synchronized boolean complete(int attemptNumber) {
        if (isObsolete(attemptNumber)) {
            return false;
        }
        selectWinner(attemptNumber);
        attemptCompleted = true;
        return true;
    }

    /** Makes the winner of two hedged attempts the current one and cancels the other. */
    private void selectWinner(int winner) {
        if (hedgeAttempt == NO_ATTEMPT) {
            return;
        }
        int loser = winner == currentAttempt ? hedgeAttempt : currentAttempt;
        currentAttempt = winner;
        hedgeAttempt = NO_ATTEMPT;
        deliverDeferredStart();
        TargetStream stream = streams.remove(loser);
        if (stream != null) {
            stream.cancel();
        }
    }

    /** Removes a failed attempt of a hedged request; the other attempt continues. */
    public synchronized void removeFailedAttempt(int attemptNumber) {
        streams.remove(attemptNumber);
        if (attemptNumber == currentAttempt && hedgeAttempt != NO_ATTEMPT) {
            currentAttempt = hedgeAttempt;
        }
        hedgeAttempt = NO_ATTEMPT;
        deliverDeferredStart();
    }

    private void deliverDeferredStart() {
        Runnable start = deferredStarts.remove(currentAttempt);
        deferredStarts.clear();
        if (start != null) {
            start.run();
        }
    }

    /** Returns whether the attempt is current and the stream has not ended. */
    public synchronized boolean isCurrent(int attemptNumber) {
        return attemptNumber == currentAttempt && !finished;
    }

    private boolean isActive(int attemptNumber) {
        boolean active =
                attemptNumber == currentAttempt
                        || hedgeAttempt != NO_ATTEMPT && attemptNumber == hedgeAttempt;
        return active && !finished;
    }

    /** Adds to the caller's demand and passes it on to the engines' streams. */
    public void request(int pieces) {
        List<TargetStream> openStreams;
        synchronized (this) {
            demand += pieces;
            openStreams = List.copyOf(streams.values());
        }
        openStreams.forEach(stream -> stream.request(pieces));
    }

    /** Cancels the active attempts; their later events are dropped. */
    public void cancelAttempts() {
        List<TargetStream> openStreams;
        synchronized (this) {
            currentAttempt = ++lastAttempt;
            hedgeAttempt = NO_ATTEMPT;
            deferredStarts.clear();
            openStreams = List.copyOf(streams.values());
            streams.clear();
        }
        openStreams.forEach(TargetStream::cancel);
    }

    /** Reports the outcome of the request to the caller and cancels the active attempts. */
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

    private boolean isObsolete(int attemptNumber) {
        boolean obsolete = !isActive(attemptNumber);
        if (obsolete) {
            droppedEvents++;
        }
        return obsolete;
    }

    /**
     * Returns the number of events that were dropped because their attempt was no longer active.
     */
    public synchronized long droppedEvents() {
        return droppedEvents;
    }

    /** Returns the text delivered so far. */
    public synchronized String deliveredText() {
        return deliveredText.toString();
    }

    /** Returns the number of tokens delivered so far. */
    public synchronized int deliveredTokens() {
        return deliveredTokens;
    }

    /** Returns the index of the next piece to deliver. */
    public synchronized int nextPiece() {
        return nextPiece;
    }

    /** Returns the index in the caller's stream of the first piece of the current engine stream. */
    public synchronized int pieceOffset() {
        return pieceOffset;
    }

    /** Returns whether the caller has requested pieces that were not delivered yet. */
    public synchronized boolean hasDemand() {
        return demand > 0;
    }
}
