package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.log.LogAppender;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Takes a daemon from its start to its planned stop: joins the roster, keeps the roster free of VMs
 * that are gone, leaves. Confined to the control thread.
 */
final class NodeLifecycle {

    private static final Logger LOGGER = LogManager.getLogger(NodeLifecycle.class);

    /** Time within which a record that adds or removes a daemon must be confirmed. */
    private static final Duration JOIN_DEADLINE = Duration.ofSeconds(5);

    /** Time within which the record of this daemon's own leaving must be confirmed. */
    private static final Duration LEAVE_DEADLINE = Duration.ofSeconds(2);

    /** Time between two checks whether a stopping daemon still runs requests. */
    private static final Duration STOP_CHECK = Duration.ofMillis(50);

    /** Time for which a VM must be missing from the list before its daemon is removed. */
    private static final Duration MISSING_BEFORE_REMOVAL = Duration.ofSeconds(10);

    private final Parts parts;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final MissingSince<DaemonId> missing;
    private DaemonStatus status = DaemonStatus.STARTING;
    private boolean accepting = true;
    private boolean stopDeadlinePassed;
    private boolean joining;
    private ConfigurationState lastConfiguration = ConfigurationState.NONE;

    NodeLifecycle(Parts parts) {
        this.parts = parts;
        this.missing = new MissingSince<>(parts.clock(), MISSING_BEFORE_REMOVAL);
    }

    /**
     * What the lifecycle works with.
     *
     * @param virtualMachines the platform's last list, empty if it was never read
     * @param idle whether no accepted request runs
     */
    record Parts(
            NodeSettings settings,
            SharedState state,
            LogAppender appender,
            Supplier<ConfigurationState> configuration,
            Supplier<List<VirtualMachine>> virtualMachines,
            BooleanSupplier idle,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    DaemonStatus status() {
        return status;
    }

    /** Returns whether new requests are taken. */
    boolean accepting() {
        return accepting;
    }

    CompletableFuture<Void> ready() {
        return ready;
    }

    /** Follows the configuration's state; to be called several times a second. */
    void tick() {
        noteConfiguration(parts.configuration().get());
        if (status != DaemonStatus.LEAVING) {
            joinIfAbsent();
            removeGoneMembers();
        }
    }

    private void noteConfiguration(ConfigurationState configuration) {
        if (configuration == lastConfiguration) {
            return;
        }
        EventKind kind =
                configuration == ConfigurationState.STALE
                        ? EventKind.CONFIGURATION_STALE
                        : EventKind.CONFIGURATION_FRESH;
        parts.timeline().record(kind, "configuration", lastConfiguration + " to " + configuration);
        lastConfiguration = configuration;
        boolean usable =
                configuration == ConfigurationState.FRESH
                        || configuration == ConfigurationState.LOG_OUTAGE;
        if (usable && status == DaemonStatus.STARTING) {
            status = DaemonStatus.SERVING;
            parts.timeline().record(EventKind.DAEMON_READY, self().name(), "");
            ready.complete(null);
        }
    }

    private DaemonId self() {
        return parts.settings().self();
    }

    /** An empty log needs the first join before it can be confirmed to be anything. */
    private void joinIfAbsent() {
        boolean member =
                parts.state()
                        .rosterMember(self().name())
                        .map(present -> present.daemon().equals(self()))
                        .orElse(false);
        if (member || joining) {
            return;
        }
        joining = true;
        NodeSettings settings = parts.settings();
        LogRecord.DaemonJoined joined =
                new LogRecord.DaemonJoined(
                        self(),
                        settings.virtualMachine(),
                        settings.peerAddress(),
                        settings.callerAddress(),
                        settings.dataCentre());
        parts.appender()
                .append(joined, JOIN_DEADLINE)
                .whenComplete((offset, failure) -> joining = false);
    }

    /** The first live member by name removes members whose VM the platform no longer has. */
    private void removeGoneMembers() {
        List<VirtualMachine> listed = parts.virtualMachines().get();
        if (listed.isEmpty()) {
            return;
        }
        Set<String> names = listed.stream().map(VirtualMachine::name).collect(Collectors.toSet());
        Set<DaemonId> gone =
                parts.state().roster().stream()
                        .filter(member -> !names.contains(member.virtualMachine()))
                        .map(RosterMember::daemon)
                        .filter(daemon -> !daemon.equals(self()))
                        .collect(Collectors.toSet());
        boolean first =
                parts.state().roster().stream()
                        .map(RosterMember::daemon)
                        .filter(daemon -> !gone.contains(daemon))
                        .findFirst()
                        .map(self()::equals)
                        .orElse(false);
        for (DaemonId daemon : missing.update(gone)) {
            if (first) {
                LOGGER.info("VM of daemon {} is gone from the platform's list", daemon);
                parts.appender().append(new LogRecord.DaemonLeft(daemon, self()), JOIN_DEADLINE);
            }
        }
    }

    /** Leaves address answers, waits out their lifetime and the streams, then leaves the roster. */
    CompletableFuture<Void> stop() {
        if (status == DaemonStatus.LEAVING) {
            return stopped;
        }
        status = DaemonStatus.LEAVING;
        parts.timeline().record(EventKind.DAEMON_STOPPING, self().name(), "");
        // Other daemons learn of it by a heartbeat; their answers of before live for one lifetime.
        Duration linger = parts.settings().addressLifetime().plusSeconds(2);
        parts.scheduler().schedule(linger, this::stopAccepting);
        return stopped;
    }

    private void stopAccepting() {
        accepting = false;
        awaitIdle(Duration.ZERO);
    }

    private void awaitIdle(Duration waited) {
        stopDeadlinePassed = waited.compareTo(parts.settings().stopDeadline()) >= 0;
        if (parts.idle().getAsBoolean() || stopDeadlinePassed) {
            leave();
            return;
        }
        parts.scheduler().schedule(STOP_CHECK, () -> awaitIdle(waited.plus(STOP_CHECK)));
    }

    /** Returns whether a planned stop no longer waits for requests. */
    boolean stopDeadlinePassed() {
        return stopDeadlinePassed;
    }

    private void leave() {
        parts.appender()
                .append(new LogRecord.DaemonLeft(self(), self()), LEAVE_DEADLINE)
                .whenComplete(
                        (offset, failure) -> {
                            parts.timeline().record(EventKind.DAEMON_STOPPED, self().name(), "");
                            stopped.complete(null);
                        });
    }
}
