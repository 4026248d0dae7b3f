package org.bergamothoist.core.placement;

import java.util.Objects;
import java.util.Set;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * The properties of a request that a placement policy uses.
 *
 * @param priority from 0, most urgent, to 9, least urgent
 * @param excluded targets that must not get the request, for example those that failed it
 * @param suspect whether the request may have crashed an engine; two suspects must not run at the
 *     same engine
 */
public record PlacementRequest(
        BlockHashChain chain,
        ModelKey modelKey,
        OrganisationId organisation,
        int priority,
        Set<TargetId> excluded,
        boolean suspect) {

    public PlacementRequest {
        Objects.requireNonNull(chain);
        Objects.requireNonNull(modelKey);
        Objects.requireNonNull(organisation);
        excluded = Set.copyOf(excluded);
    }

    /** Returns whether the target may get the request. */
    boolean allows(TargetId target, PlacementView view) {
        return !excluded.contains(target) && !(suspect && view.runsSuspect(target));
    }
}
