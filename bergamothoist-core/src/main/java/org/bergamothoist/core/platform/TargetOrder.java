package org.bergamothoist.core.platform;

import java.time.Instant;
import java.util.Set;
import org.bergamothoist.core.identity.ModelKey;

/**
 * An order to a target to reach a desired state. Orders are idempotent.
 *
 * @param models models that the target should have loaded
 * @param role name of the role that the target should take
 * @param fencingNumber offset of the lease under which the order is sent; targets that support
 *     fencing reject orders with an older number
 * @param deadline time after which the target ignores the order
 */
public record TargetOrder(Set<ModelKey> models, String role, long fencingNumber, Instant deadline) {

    public TargetOrder {
        models = Set.copyOf(models);
    }
}
