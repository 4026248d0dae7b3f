package org.bergamothoist.core.platform;

import java.time.Instant;
import java.util.Set;
import org.bergamothoist.core.identity.ModelKey;

/**
 * The state that a target shall reach. Repeating an order has no further effect.
 *
 * @param models models, adapters and versions to have loaded
 * @param role name of the role to take
 * @param fencingNumber offset of the lease under which the order is given
 * @param deadline time after which the target ignores the order
 */
public record TargetOrder(Set<ModelKey> models, String role, long fencingNumber, Instant deadline) {

    public TargetOrder {
        models = Set.copyOf(models);
    }
}
