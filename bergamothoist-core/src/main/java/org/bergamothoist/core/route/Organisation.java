package org.bergamothoist.core.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * An organisation whose callers authenticate with one of its keys.
 *
 * @param priority overrides the route's priority if present
 * @param isolated whether its cached prompt prefixes must not be shared with other organisations
 * @param quota how much it may run; empty if that is not limited
 */
public record Organisation(
        String name,
        List<String> callerKeys,
        OptionalInt priority,
        boolean isolated,
        Optional<Quota> quota) {

    public Organisation {
        callerKeys = List.copyOf(callerKeys);
    }

    /** Creates an organisation without a quota. */
    public Organisation(
            String name, List<String> callerKeys, OptionalInt priority, boolean isolated) {
        this(name, callerKeys, priority, isolated, Optional.empty());
    }
}
