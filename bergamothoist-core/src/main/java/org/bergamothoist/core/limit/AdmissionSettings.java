package org.bergamothoist.core.limit;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of an {@link AdmissionController}.
 *
 * @param maximumQueued most queued requests of all organisations
 * @param maximumQueuedPerPriority most queued requests of one organisation and priority
 * @param maximumQueueingTime a request that waits longer is refused, whatever its deadline
 * @param headsTried queues whose head is offered for dispatch each time, so that one queue without
 *     room does not block the others
 */
public record AdmissionSettings(
        int maximumQueued,
        int maximumQueuedPerPriority,
        Duration maximumQueueingTime,
        int maximumHeadsTried) {

    public AdmissionSettings {
        Objects.requireNonNull(maximumQueueingTime);
        if (maximumQueued < 1 || maximumQueuedPerPriority < 1 || maximumHeadsTried < 1) {
            throw new IllegalArgumentException("bounds of admission must be positive");
        }
    }

    /** Returns the settings for daemons of the usual size. */
    public static AdmissionSettings standard() {
        return new AdmissionSettings(1_000, 200, Duration.ofSeconds(10), 16);
    }
}
