package org.bergamothoist.core.fleet;

import java.util.Map;

/**
 * What a target last said about itself.
 *
 * @param address IP address and port; another target may have it after this one has ended
 * @param slots requests processed at once
 * @param leaving whether it takes no new work
 * @param weightVersions version of the weights of each model that it serves; empty for plain
 *     services
 */
public record RegisteredTarget(
        TargetIncarnation incarnation,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        Map<String, Integer> weightVersions) {

    public RegisteredTarget {
        weightVersions = Map.copyOf(weightVersions);
    }

    public String id() {
        return incarnation.id();
    }
}
