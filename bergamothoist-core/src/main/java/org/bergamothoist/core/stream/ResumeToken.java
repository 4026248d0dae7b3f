package org.bergamothoist.core.stream;

import java.time.Instant;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;

/**
 * Identifies a running stream, so that any daemon can resume it for its caller.
 *
 * @param fingerprint fingerprint of the request's content
 * @param streamId identifier of the stream at the engine
 * @param pieceOffset index in the caller's stream of the first piece of the engine's stream
 * @param expiresAt time after which the token is rejected
 */
public record ResumeToken(
        OrganisationId organisation,
        RequestId requestId,
        Fingerprint fingerprint,
        TargetId target,
        EngineIncarnation incarnation,
        String streamId,
        ModelKey modelKey,
        boolean idempotent,
        int pieceOffset,
        Instant expiresAt) {}
