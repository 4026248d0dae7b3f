package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * A request to an engine to resume a stream that it already runs.
 *
 * @param streamId identifies the stream at the engine
 * @param fromPiece index of the first piece to send
 */
public record EngineResume(
        Target target,
        EngineIncarnation incarnation,
        String streamId,
        OrganisationId organisation,
        int fromPiece) {}
