package org.bergamothoist.core.stream;

import java.time.Instant;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;

/**
 * Where a stream runs, so that any daemon can resume it.
 *
 * @param content fingerprint of the request's content
 * @param streamId names the stream at the engine
 * @param basePiece index in the caller's stream of the engine stream's first piece
 * @param expiresAt end of validity
 */
public record ResumeToken(
        OrganisationId organisation,
        RequestId requestId,
        Fingerprint content,
        TargetId target,
        EngineIncarnation incarnation,
        String streamId,
        ModelKey modelKey,
        boolean idempotent,
        int basePiece,
        Instant expiresAt) {}
