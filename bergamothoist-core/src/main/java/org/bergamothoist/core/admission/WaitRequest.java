package org.bergamothoist.core.admission;

import java.time.Instant;

/**
 * What the admission of a request depends on.
 *
 * @param service service whose targets may run the request
 * @param organisation name of the caller's organisation, empty if it has none
 * @param priority 0 is the most urgent
 * @param cost work that the request causes, in milliseconds of a target's slot
 * @param latestSend when the request must be sent so that its response ends before the deadline
 * @param deadline when the caller gives the request up
 */
public record WaitRequest(
        String service,
        String organisation,
        int priority,
        long cost,
        Instant latestSend,
        Instant deadline) {

    public WaitRequest {
        if (cost < 1) {
            throw new IllegalArgumentException("cost must be positive: " + cost);
        }
    }
}
