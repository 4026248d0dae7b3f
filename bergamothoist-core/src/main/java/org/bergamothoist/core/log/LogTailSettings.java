package org.bergamothoist.core.log;

import java.time.Duration;

/**
 * Settings of the tail.
 *
 * @param pollInterval time between reads while the log answers
 * @param maximumBackoff longest time between reads while the log fails
 * @param readTimeout time after which a read counts as failed
 * @param pageSize most records read at once
 * @param bufferedEntries recent records kept for peers that lag
 */
public record LogTailSettings(
        Duration pollInterval,
        Duration maximumBackoff,
        Duration readTimeout,
        int pageSize,
        int bufferedEntries) {

    /**
     * The settings in use. A view is fresh for 3 s, so several polls fit into that time, and a
     * timeout of 2 s shows a hanging log before it ends.
     */
    public static final LogTailSettings DEFAULT =
            new LogTailSettings(
                    Duration.ofMillis(250),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(2),
                    256,
                    4_096);
}
