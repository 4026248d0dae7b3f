package org.bergamothoist.core.limit;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * A request that asks for admission.
 *
 * @param estimatedTokens prompt tokens to compute plus tokens to generate, for fair sharing
 * @param priority 0 is most urgent, 9 least
 * @param deadline time by which the first token must arrive
 */
public record AdmissionRequest(
        OrganisationId organisation,
        ModelKey modelKey,
        int priority,
        long estimatedTokens,
        Optional<Instant> deadline) {

    /** Number of priorities. */
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
