package org.bergamothoist.core.limit;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of an {@link AdmissionController}.
 *
 * @param maximumQueued maximum number of queued requests of all organisations
 * @param maximumQueuedPerPriority maximum number of queued requests per organisation, model and
 *     priority
 * @param maximumQueueingTime longest time in the queue; after it a request is refused even if its
 *     deadline is later
 * @param maximumHeadsTried maximum number of queues whose head is offered for each dispatch; more
 *     than one, so that a request without a suitable target does not block other organisations
 */
public record AdmissionSettings(
        int maximumQueued,
        int maximumQueuedPerPriority,
        Duration maximumQueueingTime,
        int maximumHeadsTried) {

    public AdmissionSettings {
        Objects.requireNonNull(maximumQueueingTime);
        if (maximumQueued < 1 || maximumQueuedPerPriority < 1 || maximumHeadsTried < 1) {
            throw new IllegalArgumentException(
                    "bounds of admission must be positive: "
                            + maximumQueued
                            + " queued requests, "
                            + maximumQueuedPerPriority
                            + " per priority, "
                            + maximumHeadsTried
                            + " heads tried");
        }
    }

    /** Returns the default settings. */
    public static AdmissionSettings standard() {
        return new AdmissionSettings(1_000, 200, Duration.ofSeconds(10), 16);
    }
}
