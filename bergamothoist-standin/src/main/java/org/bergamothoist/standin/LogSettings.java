package org.bergamothoist.standin;

import java.time.Duration;

/**
 * Bounds of the log stand-in.
 *
 * @param appendsPerSecond appends accepted in a second; the rest is answered with 429
 * @param retention time for which a record is kept
 * @param maximumRecords most records kept
 */
public record LogSettings(int appendsPerSecond, Duration retention, int maximumRecords) {

    /** Returns several hundred appends a second, as the platform states, kept for an hour. */
    public static LogSettings defaults() {
        return new LogSettings(400, Duration.ofHours(1), 1_000_000);
    }
}
