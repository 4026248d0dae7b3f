package org.bergamothoist.core.log;

import java.time.Duration;

/**
 * Settings of {@link CheckpointWriter}.
 *
 * @param recordThreshold number of applied records after which a checkpoint is due
 * @param interval time after which a checkpoint is due if any record was applied
 * @param refreshInterval time after which an unchanged state is checkpointed again; it must be
 *     shorter than the log's retention time, otherwise the last checkpoint of an idle log expires
 * @param rankDelay delay for each daemon that precedes this one in the roster
 * @param maximumJitter upper bound of the random delay that is added
 */
public record CheckpointSettings(
        int recordThreshold,
        Duration interval,
        Duration refreshInterval,
        Duration rankDelay,
        Duration maximumJitter) {

    /** The default settings. */
    public static final CheckpointSettings DEFAULT =
            new CheckpointSettings(
                    1_000,
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(10),
                    Duration.ofMillis(500),
                    Duration.ofMillis(250));
}
