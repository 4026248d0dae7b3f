package org.bergamothoist.core.platform;

import java.util.Objects;

/**
 * An entry of the platform's list of VMs.
 *
 * @param role what runs on the VM
 * @param group name of the group of interchangeable VMs
 * @param host IP address
 * @param port TCP port of the process on the VM
 * @param state whether the platform is about to stop the VM
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
        /** A daemon of this router. */
        ENTRY,
        /** A model engine. */
        MODEL_ENGINE,
        /** A plain service. */
        PLAIN_SERVICE
    }

    /** Whether the platform is about to stop the VM. */
    public enum State {
        /** The VM is running. */
        LIVE,
        /** The VM will be stopped. */
        LEAVING
    }
}
