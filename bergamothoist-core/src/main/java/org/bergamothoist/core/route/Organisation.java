package org.bergamothoist.core.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation whose callers present one of its keys.
 *
 * @param priority takes precedence over the route's priority, if present
 * @param isolated whether its prompts share no cached part with other organisations
 */
public record Organisation(
        String name, List<String> callerKeys, OptionalInt priority, boolean isolated) {

    public Organisation {
        callerKeys = List.copyOf(callerKeys);
    }
}
