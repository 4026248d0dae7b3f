package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Asks an engine to go on with a stream that it already runs.
 *
 * @param fromPiece index of the first piece wanted
 */
public record EngineResume(
        Target target,
        EngineIncarnation incarnation,
        String streamId,
        OrganisationId organisation,
        int fromPiece) {}
