package org.bergamothoist.core.platform;

import java.util.Objects;

/**
 * An entry of the platform's lagging list of VMs.
 *
 * @param role what runs on the VM
 * @param group name of the group of equal VMs
 * @param host IP address
 * @param port TCP port of what runs on it
 */
public record VirtualMachine(
        String name,
        Role role,
        String group,
        String host,
        int port,
        String dataCentre,
        State state) {

    public VirtualMachine {
        Objects.requireNonNull(name);
        Objects.requireNonNull(role);
        Objects.requireNonNull(group);
        Objects.requireNonNull(host);
        Objects.requireNonNull(dataCentre);
        Objects.requireNonNull(state);
    }

    /** What runs on a VM. */
    public enum Role {
        /** A daemon of this system. */
        ENTRY,
        /** A model engine. */
        MODEL_ENGINE,
        /** A plain service. */
        PLAIN_SERVICE
    }

    /** Whether the platform means to keep the VM. */
    public enum State {
        /** The VM runs. */
        LIVE,
        /** The VM will be stopped. */
        LEAVING
    }
}
