package org.bergamothoist.core.platform;

import java.time.Instant;
import org.bergamothoist.core.log.LogRecord;

/**
 * A record stored in the log.
 *
 * @param appendTime time of the append, assigned by the log; never decreases
 */
public record LogEntry(long offset, Instant appendTime, LogRecord record) {}
