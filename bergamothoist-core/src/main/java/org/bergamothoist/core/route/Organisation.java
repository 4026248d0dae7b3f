package org.bergamothoist.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation whose callers authenticate with one of its keys.
 *
 * @param priority overrides the route's priority if present
 * @param isolated whether its cached prompt prefixes must not be shared with other organisations
 */
public record Organisation(
        String name, List<String> callerKeys, OptionalInt priority, boolean isolated) {

    public Organisation {
        callerKeys = List.copyOf(callerKeys);
    }
}
