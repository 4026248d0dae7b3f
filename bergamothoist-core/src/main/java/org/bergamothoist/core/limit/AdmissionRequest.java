package org.bergamothoist.core.limit;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * A request to be admitted.
 *
 * @param estimatedTokens prompt tokens to compute plus tokens to generate; the cost of the request
 *     in fair sharing
 * @param priority from 0, most urgent, to 9, least urgent
 * @param deadline time by which the first token must arrive, if there is a limit
 */
public record AdmissionRequest(
        OrganisationId organisation,
        ModelKey modelKey,
        int priority,
        long estimatedTokens,
        Optional<Instant> deadline) {

    /** Number of priority levels. */
    public static final int PRIORITIES = 10;

    public AdmissionRequest {
        Objects.requireNonNull(organisation);
        Objects.requireNonNull(modelKey);
        Objects.requireNonNull(deadline);
        if (priority < 0 || priority >= PRIORITIES) {
            throw new IllegalArgumentException("priority out of range: " + priority);
        }
    }
}
