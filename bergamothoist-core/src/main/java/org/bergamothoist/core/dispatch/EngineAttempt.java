package org.bergamothoist.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.stream.StreamRelay;

/**
 * One dispatch to an engine. Pieces go straight to the relay; start, end and failure are reported
 * to the handler, which posts them to the control thread.
 */
final class EngineAttempt implements EngineListener {

    private final Target target;
    private final int number;
    private final ModelKey modelKey;
    private final StreamRelay relay;
    private final Handler handler;
    private final InstantSource clock;
    private final Instant dispatchedAt;
    private final boolean resuming;
    private volatile EngineIncarnation incarnation;
    private volatile Instant lastProgress;
    private volatile boolean firstPieceSeen;

    EngineAttempt(
            EngineChoice choice,
            int number,
            ModelKey modelKey,
            StreamRelay relay,
            Handler handler,
            InstantSource clock,
            boolean resuming) {
        this.target = choice.target();
        this.incarnation = choice.incarnation();
        this.number = number;
        this.modelKey = modelKey;
        this.relay = relay;
        this.handler = handler;
        this.clock = clock;
        this.dispatchedAt = clock.instant();
        this.lastProgress = dispatchedAt;
        this.resuming = resuming;
    }

    /** Learns what happens to an attempt; called on any thread. */
    interface Handler {

        void onStarted(EngineAttempt attempt, EngineResponseStart start);

        void onFirstPiece(EngineAttempt attempt, Duration sinceDispatch);

        void onCompleted(EngineAttempt attempt);

        void onFailed(EngineAttempt attempt, TargetFailure failure);
    }

    Target target() {
        return target;
    }

    int number() {
        return number;
    }

    EngineIncarnation incarnation() {
        return incarnation;
    }

    boolean firstPieceSeen() {
        return firstPieceSeen;
    }

    boolean resuming() {
        return resuming;
    }

    Duration sinceProgress() {
        return Duration.between(lastProgress, clock.instant());
    }

    @Override
    public void onSending() {
        lastProgress = clock.instant();
    }

    @Override
    public void onStarted(EngineResponseStart start) {
        lastProgress = clock.instant();
        incarnation = start.incarnation();
        if (!start.modelKey().equals(modelKey)) {
            fail(
                    TargetFailure.Kind.FAILED,
                    "the engine answered with " + start.modelKey() + " instead of " + modelKey);
            return;
        }
        handler.onStarted(this, start);
    }

    @Override
    public void onPiece(int index, String text, int tokens) {
        lastProgress = clock.instant();
        if (!relay.piece(number, index, text, tokens)) {
            fail(TargetFailure.Kind.FAILED, "the engine sent piece " + index + " out of order");
            return;
        }
        if (!firstPieceSeen) {
            firstPieceSeen = true;
            handler.onFirstPiece(this, Duration.between(dispatchedAt, lastProgress));
        }
    }

    @Override
    public void onCompleted() {
        if (relay.completed(number)) {
            handler.onCompleted(this);
        }
    }

    @Override
    public void onFailed(TargetFailure failure) {
        handler.onFailed(this, failure);
    }

    private void fail(TargetFailure.Kind kind, String message) {
        handler.onFailed(this, new TargetFailure(kind, message));
    }
}
