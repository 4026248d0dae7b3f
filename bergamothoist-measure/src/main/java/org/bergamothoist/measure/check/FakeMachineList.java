package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** The platform's list of VMs, whose answers show a state of some time ago. */
final class FakeMachineList {

    private static final int MAXIMUM_LAG_MILLISECONDS = 1_500;
    private static final Duration LATENCY = Duration.ofMillis(3);

    private final VirtualTimeScheduler time;
    private final RandomGenerator random;
    private final Map<String, VirtualMachine> machines = new TreeMap<>();
    private final TreeMap<Instant, List<VirtualMachine>> history = new TreeMap<>();
    int down;

    FakeMachineList(VirtualTimeScheduler time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    void put(VirtualMachine machine) {
        machines.put(machine.name(), machine);
        remember();
    }

    void remove(String name) {
        machines.remove(name);
        remember();
    }

    void markLeaving(String name) {
        VirtualMachine machine = machines.get(name);
        put(
                new VirtualMachine(
                        name,
                        machine.role(),
                        machine.group(),
                        machine.host(),
                        machine.port(),
                        machine.dataCentre(),
                        VirtualMachine.State.LEAVING));
    }

    List<VirtualMachine> current() {
        return List.copyOf(machines.values());
    }

    private void remember() {
        history.put(time.instant(), new ArrayList<>(machines.values()));
    }

    /**
     * Returns one node's access.
     *
     * @param shown is told of each list that reaches the node
     */
    VirtualMachineList client(SimulatedProcess process, Consumer<List<VirtualMachine>> shown) {
        return () -> read(process, shown);
    }

    private CompletionStage<List<VirtualMachine>> read(
            SimulatedProcess process, Consumer<List<VirtualMachine>> shown) {
        CompletableFuture<List<VirtualMachine>> answer = new CompletableFuture<>();
        Duration lag = Duration.ofMillis(random.nextInt(MAXIMUM_LAG_MILLISECONDS));
        boolean fails = down > 0;
        Map.Entry<Instant, List<VirtualMachine>> seen =
                history.floorEntry(time.instant().minus(lag));
        List<VirtualMachine> list =
                List.copyOf(seen == null ? history.firstEntry().getValue() : seen.getValue());
        process.schedule(
                LATENCY,
                () -> {
                    if (fails) {
                        answer.completeExceptionally(
                                new PlatformException("the list does not answer"));
                        return;
                    }
                    shown.accept(list);
                    answer.complete(list);
                });
        return answer;
    }
}
