package org.bergamothoist.core.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;

/**
 * Detects that the control thread did not run for a while, for example because the process or its
 * VM stood still. What arrives right after a pause may be as old as the pause. Confined to the
 * control thread.
 */
public final class PauseDetector {

    private final Duration longestInterval;
    private final InstantSource clock;
    private final Consumer<Duration> onPause;
    private Instant lastRunAt;
    private Instant lastPauseEndedAt = Instant.MIN;

    /**
     * Creates a detector.
     *
     * @param longestInterval longest time between two calls of {@link #recordRun} of a thread that
     *     runs
     * @param onPause called with the time for which the thread did not run
     */
    public PauseDetector(
            Duration longestInterval, InstantSource clock, Consumer<Duration> onPause) {
        this.longestInterval = longestInterval;
        this.clock = clock;
        this.onPause = onPause;
        this.lastRunAt = clock.instant();
    }

    /** Records that the thread runs; to be called periodically. */
    public void recordRun() {
        Instant now = clock.instant();
        Duration sinceLastRun = Duration.between(lastRunAt, now);
        lastRunAt = now;
        if (sinceLastRun.compareTo(longestInterval) > 0) {
            lastPauseEndedAt = now;
            onPause.accept(sinceLastRun);
        }
    }

    /** Returns whether the thread paused after the instant, or is just resuming from a pause. */
    public boolean hasPausedSince(Instant instant) {
        boolean resuming = clock.instant().isAfter(lastRunAt.plus(longestInterval));
        return resuming || lastPauseEndedAt.isAfter(instant);
    }
}
