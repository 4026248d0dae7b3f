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
 * Manages a daemon from start to planned stop: joins the roster, removes members whose VM no longer
 * exists, and leaves the roster. Confined to the control thread.
 */
final class NodeLifecycle {

    private static final Logger LOGGER = LogManager.getLogger(NodeLifecycle.class);

    /** Time within which the record of a join or of another daemon's removal must be confirmed. */
    private static final Duration JOIN_DEADLINE = Duration.ofSeconds(5);

    /** Time within which the record that this daemon has left must be confirmed. */
    private static final Duration LEAVE_DEADLINE = Duration.ofSeconds(2);

    /** Interval at which a stopping daemon checks whether requests are still running. */
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time for which a VM must be absent from the list before its daemon is removed. */
    private static final Duration REMOVAL_GRACE_PERIOD = Duration.ofSeconds(10);

    private final Dependencies dependencies;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final AbsenceTracker<DaemonId> absences;
    private DaemonStatus status = DaemonStatus.STARTING;
    private boolean accepting = true;
    private boolean stopDeadlinePassed;
    private boolean joining;
    private ConfigurationState lastConfiguration = ConfigurationState.NONE;

    NodeLifecycle(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.absences = new AbsenceTracker<>(dependencies.clock(), REMOVAL_GRACE_PERIOD);
    }

    /**
     * The components that the lifecycle uses.
     *
     * @param virtualMachines the last list read from the platform, empty if there is none
     * @param idle whether all accepted requests and their claims are finished
     */
    record Dependencies(
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

    /** Returns whether new requests are accepted. */
    boolean accepting() {
        return accepting;
    }

    CompletableFuture<Void> ready() {
        return ready;
    }

    /** Updates status and roster membership; to be called several times a second. */
    void tick() {
        onConfigurationState(dependencies.configuration().get());
        if (status != DaemonStatus.LEAVING) {
            joinIfAbsent();
            removeAbsentMembers();
        }
    }

    private void onConfigurationState(ConfigurationState configuration) {
        if (configuration == lastConfiguration) {
            return;
        }
        EventKind kind =
                configuration == ConfigurationState.STALE
                        ? EventKind.CONFIGURATION_STALE
                        : EventKind.CONFIGURATION_FRESH;
        dependencies
                .timeline()
                .record(kind, "configuration", lastConfiguration + " to " + configuration);
        lastConfiguration = configuration;
        boolean usable =
                configuration == ConfigurationState.FRESH
                        || configuration == ConfigurationState.LOG_OUTAGE;
        if (usable && status == DaemonStatus.STARTING) {
            status = DaemonStatus.SERVING;
            dependencies.timeline().record(EventKind.DAEMON_READY, self().name(), "");
            ready.complete(null);
        }
    }

    private DaemonId self() {
        return dependencies.settings().self();
    }

    /**
     * Appends a join record, without waiting for a confirmed configuration: in an empty log, the
     * first join is the first record that can be confirmed.
     */
    private void joinIfAbsent() {
        boolean member =
                dependencies
                        .state()
                        .rosterMember(self().name())
                        .map(present -> present.daemon().equals(self()))
                        .orElse(false);
        if (member || joining) {
            return;
        }
        joining = true;
        NodeSettings settings = dependencies.settings();
        LogRecord.DaemonJoined joined =
                new LogRecord.DaemonJoined(
                        self(),
                        settings.virtualMachine(),
                        settings.peerAddress(),
                        settings.callerAddress(),
                        settings.dataCentre());
        dependencies
                .appender()
                .append(joined, JOIN_DEADLINE)
                .whenComplete((offset, failure) -> joining = false);
    }

    /**
     * Removes members whose VM no longer exists; only the first remaining member by name does so.
     */
    private void removeAbsentMembers() {
        List<VirtualMachine> listed = dependencies.virtualMachines().get();
        if (listed.isEmpty()) {
            return;
        }
        Set<String> names = listed.stream().map(VirtualMachine::name).collect(Collectors.toSet());
        Set<DaemonId> absent =
                dependencies.state().roster().stream()
                        .filter(member -> !names.contains(member.virtualMachine()))
                        .map(RosterMember::daemon)
                        .filter(daemon -> !daemon.equals(self()))
                        .collect(Collectors.toSet());
        boolean responsible =
                dependencies.state().roster().stream()
                        .map(RosterMember::daemon)
                        .filter(daemon -> !absent.contains(daemon))
                        .findFirst()
                        .map(self()::equals)
                        .orElse(false);
        for (DaemonId daemon : absences.update(absent)) {
            if (responsible) {
                LOGGER.info(
                        "VM of daemon {} is no longer in the platform's list; removing the daemon",
                        daemon);
                dependencies
                        .appender()
                        .append(new LogRecord.DaemonLeft(daemon, self()), JOIN_DEADLINE);
            }
        }
    }

    /**
     * Starts a planned stop: waits until callers no longer hold this daemon's address and running
     * requests have finished, then leaves the roster.
     */
    CompletableFuture<Void> stop() {
        if (status == DaemonStatus.LEAVING) {
            return stopped;
        }
        status = DaemonStatus.LEAVING;
        dependencies.timeline().record(EventKind.DAEMON_STOPPING, self().name(), "");
        // Heartbeats announce the stop to peers; addresses that they returned before stay in use
        // for one lifetime.
        Duration drainDelay = dependencies.settings().addressLifetime().plusSeconds(2);
        dependencies.scheduler().schedule(drainDelay, this::stopAccepting);
        return stopped;
    }

    private void stopAccepting() {
        accepting = false;
        awaitIdle(Duration.ZERO);
    }

    private void awaitIdle(Duration waited) {
        stopDeadlinePassed = waited.compareTo(dependencies.settings().stopDeadline()) >= 0;
        if (dependencies.idle().getAsBoolean() || stopDeadlinePassed) {
            leave();
            return;
        }
        dependencies
                .scheduler()
                .schedule(IDLE_CHECK_INTERVAL, () -> awaitIdle(waited.plus(IDLE_CHECK_INTERVAL)));
    }

    /** Returns whether a planned stop has given up waiting for running requests. */
    boolean stopDeadlinePassed() {
        return stopDeadlinePassed;
    }

    private void leave() {
        dependencies
                .appender()
                .append(new LogRecord.DaemonLeft(self(), self()), LEAVE_DEADLINE)
                .whenComplete(
                        (offset, failure) -> {
                            dependencies
                                    .timeline()
                                    .record(EventKind.DAEMON_STOPPED, self().name(), "");
                            stopped.complete(null);
                        });
    }
}
