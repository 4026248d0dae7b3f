package org.bergamothoist.core.platform;

import java.util.Objects;
import org.bergamothoist.core.identity.TargetId;

/**
 * A model engine or an instance of a plain service, as listed by the platform.
 *
 * @param group name of the group of interchangeable targets, for example a service's name
 * @param host IP address
 * @param port TCP port
 */
public record Target(
        TargetId id, TargetKind kind, String group, String host, int port, String dataCentre) {

    public Target {
        Objects.requireNonNull(id);
        Objects.requireNonNull(kind);
        Objects.requireNonNull(group);
        Objects.requireNonNull(host);
        Objects.requireNonNull(dataCentre);
    }
}
