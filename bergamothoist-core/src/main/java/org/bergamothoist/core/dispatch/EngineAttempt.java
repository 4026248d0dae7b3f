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
 * One dispatch of a completion to an engine. Pieces go directly to the relay; start, completion and
 * failure are reported to the listener.
 */
final class EngineAttempt implements EngineListener {

    private final Target target;
    private final int number;
    private final ModelKey modelKey;
    private final StreamRelay relay;
    private final Listener listener;
    private final InstantSource clock;
    private final Instant dispatchedAt;
    private final boolean resumesStream;
    private volatile EngineIncarnation incarnation;
    private volatile Instant lastProgressAt;
    private volatile boolean firstTokenSeen;

    EngineAttempt(
            EngineChoice choice,
            int number,
            ModelKey modelKey,
            StreamRelay relay,
            Listener listener,
            InstantSource clock,
            boolean resumesStream) {
        this.target = choice.target();
        this.incarnation = choice.incarnation();
        this.number = number;
        this.modelKey = modelKey;
        this.relay = relay;
        this.listener = listener;
        this.clock = clock;
        this.dispatchedAt = clock.instant();
        this.lastProgressAt = dispatchedAt;
        this.resumesStream = resumesStream;
    }

    /** Receives the events of an attempt. Called on any thread. */
    interface Listener {

        void onStarted(EngineAttempt attempt, EngineResponseStart start);

        void onFirstToken(EngineAttempt attempt, Duration timeToFirstToken);

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

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    boolean resumesStream() {
        return resumesStream;
    }

    Duration timeSinceProgress() {
        return Duration.between(lastProgressAt, clock.instant());
    }

    @Override
    public void onSending() {
        lastProgressAt = clock.instant();
    }

    @Override
    public void onStarted(EngineResponseStart start) {
        lastProgressAt = clock.instant();
        incarnation = start.incarnation();
        if (!start.modelKey().equals(modelKey)) {
            fail(
                    TargetFailure.Kind.FAILED,
                    "the engine responded with model "
                            + start.modelKey()
                            + " instead of "
                            + modelKey);
            return;
        }
        listener.onStarted(this, start);
    }

    @Override
    public void onPiece(int index, String text, int tokens) {
        lastProgressAt = clock.instant();
        if (!relay.deliverPiece(number, index, text, tokens)) {
            fail(
                    TargetFailure.Kind.FAILED,
                    "the engine sent piece " + index + " out of order or without demand");
            return;
        }
        if (!firstTokenSeen) {
            firstTokenSeen = true;
            listener.onFirstToken(this, Duration.between(dispatchedAt, lastProgressAt));
        }
    }

    @Override
    public void onCompleted() {
        if (relay.complete(number)) {
            listener.onCompleted(this);
        }
    }

    @Override
    public void onFailed(TargetFailure failure) {
        listener.onFailed(this, failure);
    }

    private void fail(TargetFailure.Kind kind, String message) {
        listener.onFailed(this, new TargetFailure(kind, message));
    }
}
