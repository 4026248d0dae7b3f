package org.bergamothoist.gateway.state;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.SuspectContents;

/**
 * A content that daemons refuse, as kept in the platform's store.
 *
 * @param origin route and organisation of its requests
 * @param losses targets that were lost while they ran it
 * @param refusedUntil when its refusal ends
 */
public record QuarantinedContent(
        Fingerprint content,
        String origin,
        List<SuspectContents.Loss> losses,
        Instant refusedUntil) {

    public QuarantinedContent {
        losses = List.copyOf(losses);
    }
}
