package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.bergamothoist.core.platform.VirtualMachine;

/** The platform's list of VMs. A change becomes visible only after the lag. */
public final class VirtualMachineListStandIn implements AutoCloseable {

    private final InstantSource clock;
    private final StandInHttpServer server;
    private final List<Change> changes = new ArrayList<>();
    private Duration lag;
    private boolean down;

    /** A change of one VM; the machine is null if it was removed. */
    private record Change(Instant time, String name, VirtualMachine machine) {}

    private record MachineMessage(
            String name,
            String role,
            String group,
            String host,
            int port,
            String dataCentre,
            String state) {}

    private record ListMessage(List<MachineMessage> vms) {}

    /** Starts an empty list. */
    public VirtualMachineListStandIn(EventLoopGroup group, Duration lag, InstantSource clock) {
        this.clock = clock;
        this.lag = lag;
        this.server = StandInHttpServer.start(group, this::handle);
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    /** Adds a VM, or replaces the one of the same name. */
    public void register(VirtualMachine machine) {
        server.run(() -> changes.add(new Change(clock.instant(), machine.name(), machine)));
    }

    /** Adds a VM that was there before the list started, visible at once. */
    void preset(VirtualMachine machine) {
        server.run(() -> changes.add(new Change(Instant.MIN, machine.name(), machine)));
    }

    /** Marks a VM as leaving. */
    public void leaving(String name) {
        server.run(
                () -> {
                    VirtualMachine machine = machines(Instant.MAX).get(name);
                    if (machine == null) {
                        throw new IllegalArgumentException("unknown VM: " + name);
                    }
                    changes.add(new Change(clock.instant(), name, left(machine)));
                });
    }

    /** Removes a VM. */
    public void remove(String name) {
        server.run(() -> changes.add(new Change(clock.instant(), name, null)));
    }

    /** Changes the lag, also for changes that are not visible yet. */
    public void lag(Duration newLag) {
        server.run(() -> lag = newLag);
    }

    /** Answers all calls with 503. */
    public void down() {
        server.run(() -> down = true);
    }

    /** Answers again. */
    public void recover() {
        server.run(() -> down = false);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        if (down) {
            response.message(503, "list is out of service");
            return;
        }
        if (!request.path().equals("/vms")) {
            response.message(404, "unknown path");
            return;
        }
        List<MachineMessage> visible =
                machines(clock.instant().minus(lag)).values().stream()
                        .map(VirtualMachineListStandIn::message)
                        .toList();
        response.json(200, new ListMessage(visible));
    }

    private Map<String, VirtualMachine> machines(Instant until) {
        Map<String, VirtualMachine> machines = new LinkedHashMap<>();
        for (Change change : changes) {
            if (change.time().isAfter(until)) {
                continue;
            }
            machines.remove(change.name());
            if (change.machine() != null) {
                machines.put(change.name(), change.machine());
            }
        }
        return machines;
    }

    private static VirtualMachine left(VirtualMachine machine) {
        return new VirtualMachine(
                machine.name(),
                machine.role(),
                machine.group(),
                machine.host(),
                machine.port(),
                machine.dataCentre(),
                VirtualMachine.State.LEAVING);
    }

    private static MachineMessage message(VirtualMachine machine) {
        return new MachineMessage(
                machine.name(),
                machine.role().name().toLowerCase(Locale.ROOT),
                machine.group(),
                machine.host(),
                machine.port(),
                machine.dataCentre(),
                machine.state().name().toLowerCase(Locale.ROOT));
    }
}
