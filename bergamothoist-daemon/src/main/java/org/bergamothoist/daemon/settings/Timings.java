package org.bergamothoist.daemon.settings;

import java.time.Duration;

/**
 * Time limits.
 *
 * @param addressLifetime time for which callers may keep an address answer
 * @param stopDeadline time after which a planned stop no longer waits for streams
 * @param firstTokenTimeout time for which a dispatch may stay without a first token
 * @param connect time for a TCP connection to an outside system
 * @param control time for a whole control call to an outside system
 * @param callerIdle time after which a caller's connection without progress is closed
 */
public record Timings(
        Duration addressLifetime,
        Duration stopDeadline,
        Duration firstTokenTimeout,
        Duration connect,
        Duration control,
        Duration callerIdle) {}
