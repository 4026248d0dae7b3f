package org.bergamothoist.core.log;

import java.time.Duration;

/**
 * Settings of the checkpoint writer.
 *
 * @param records folded records after which a checkpoint is due
 * @param interval time after which a checkpoint is due if something changed
 * @param refreshInterval time after which an unchanged state is written again; it must be shorter
 *     than the time for which the log keeps records, or the last checkpoint of a quiet log expires
 * @param rankDelay delay for each daemon that precedes in the roster
 * @param maximumJitter most random delay added
 */
public record CheckpointSettings(
        int records,
        Duration interval,
        Duration refreshInterval,
        Duration rankDelay,
        Duration maximumJitter) {

    /** The settings in use. */
    public static final CheckpointSettings DEFAULT =
            new CheckpointSettings(
                    1_000,
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(500),
                    Duration.ofMillis(250));
}
