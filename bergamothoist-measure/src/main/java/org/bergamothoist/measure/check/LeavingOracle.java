package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/**
 * Checks that a target gets no new work 5 s after the platform's list has shown it as leaving to
 * the dispatching daemon, or to another one that it is connected to (G7).
 */
final class LeavingOracle {

    private static final Duration BOUND = Duration.ofSeconds(5);

    private final VirtualTimeScheduler time;
    private final RunLog log;
    private final FakePeerNetwork network;
    private final Map<String, DaemonHost> running = new HashMap<>();
    private final Map<TargetId, Map<String, Instant>> shown = new HashMap<>();

    LeavingOracle(VirtualTimeScheduler time, RunLog log, FakePeerNetwork network) {
        this.time = time;
        this.log = log;
        this.network = network;
    }

    /** Notes that a daemon incarnation runs on a host. */
    void started(String daemon, DaemonHost host) {
        running.put(daemon, host);
    }

    /** Notes a list that has reached a daemon. */
    void shown(String daemon, List<VirtualMachine> machines) {
        for (VirtualMachine machine : machines) {
            if (machine.state() == VirtualMachine.State.LEAVING) {
                shown.computeIfAbsent(new TargetId(machine.name()), key -> new HashMap<>())
                        .putIfAbsent(daemon, time.instant());
            }
        }
    }

    /** Checks a dispatch of new work. */
    void dispatched(String daemon, TargetId target) {
        Instant now = time.instant();
        shown.getOrDefault(target, Map.of())
                .forEach(
                        (other, since) -> {
                            boolean late = since.plus(BOUND).isBefore(now);
                            if (late && (other.equals(daemon) || connected(daemon, other, since))) {
                                log.violated(
                                        Property.LEAVING_TARGET,
                                        daemon
                                                + " sent work to "
                                                + target
                                                + ", which "
                                                + other
                                                + " was shown as leaving at "
                                                + since);
                            }
                        });
    }

    /** Both have run without a pause, and no message was lost or late, all the time since. */
    private boolean connected(String daemon, String other, Instant since) {
        return undisturbedSince(daemon, since)
                && undisturbedSince(other, since)
                && !network.disturbed()
                && network.disturbedAt().isBefore(since);
    }

    private boolean undisturbedSince(String daemon, Instant since) {
        DaemonHost host = running.get(daemon);
        return host != null && host.runsUndisturbed(daemon, since);
    }
}
