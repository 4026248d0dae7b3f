package org.bergamothoist.core.log;

import java.time.Duration;

/**
 * Polling and buffering settings of {@link LogTail}.
 *
 * @param pollInterval time between reads while the log is reachable
 * @param maximumBackoff upper bound of the exponential backoff after failed reads
 * @param readTimeout time after which a read without a response counts as failed
 * @param pageSize maximum number of records that one read returns
 * @param bufferedEntries number of recent records kept in memory for peers that lag behind
 */
public record LogTailSettings(
        Duration pollInterval,
        Duration maximumBackoff,
        Duration readTimeout,
        int pageSize,
        int bufferedEntries) {

    /**
     * The default settings. A confirmation counts as fresh for 3 s ({@link
     * ConfigurationFreshness#FRESHNESS_WINDOW}): the poll interval fits several reads into that
     * time, and the read timeout of 2 s detects a hanging log before it has passed.
     */
    public static final LogTailSettings DEFAULT =
            new LogTailSettings(
                    Duration.ofMillis(250),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    256,
                    4_096);
}
