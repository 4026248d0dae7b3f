package org.bergamothoist.core.platform;

import java.time.Instant;
import org.bergamothoist.core.log.LogRecord;

/**
 * A record as the log keeps it.
 *
 * @param appendTime time given by the log, never decreasing
 */
public record LogEntry(long offset, Instant appendTime, LogRecord record) {}
