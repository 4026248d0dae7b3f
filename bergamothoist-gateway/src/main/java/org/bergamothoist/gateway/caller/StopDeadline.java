package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Supplier;

/** Predicts which requests end before a stopping daemon does. Confined to the event loop. */
public final class StopDeadline {

    private final Supplier<Optional<Instant>> stopsAt;
    private final InstantSource clock;
    private final AnswerTimes answerTimes = new AnswerTimes();

    /**
     * Creates a prediction without known times.
     *
     * @param stopsAt when the daemon ends whatever is in progress, if it is stopping
     */
    public StopDeadline(Supplier<Optional<Instant>> stopsAt, InstantSource clock) {
        this.stopsAt = stopsAt;
        this.clock = clock;
    }

    boolean isStopping() {
        return stopsAt.get().isPresent();
    }

    /** Returns the time until the daemon ends whatever is in progress, if it is stopping. */
    Optional<Duration> graceLeft() {
        return stopsAt.get().map(end -> Duration.between(clock.instant(), end));
    }

    AnswerTimes answerTimes() {
        return answerTimes;
    }

    /**
     * Returns whether a request that is sent now ends in time, with its answer or at its deadline.
     *
     * @param timeLeft time left until its deadline
     */
    boolean canEnd(String route, String target, Duration timeLeft) {
        Duration expected =
                answerTimes
                        .longest(route, target)
                        .filter(longest -> longest.compareTo(timeLeft) < 0)
                        .orElse(timeLeft);
        Instant end = clock.instant().plus(expected);
        return stopsAt.get().filter(end::isAfter).isEmpty();
    }
}
