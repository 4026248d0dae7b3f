package org.bergamothoist.core.fleet;

import java.util.Map;

/**
 * The newest registration of a target.
 *
 * @param service name of the service that the target provides
 * @param address IP address and port, which another target may reuse after this one has ended
 * @param slots maximum number of requests that the target processes concurrently
 * @param leaving whether the target finishes its work and accepts no new requests
 * @param weightVersions version of the weights by model; empty for plain services
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
