package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Tracks which targets accept work, based on the platform's list of VMs, the engines' reports, the
 * results of dispatches, and the leaving marks of other daemons. A leaving mark says that a target
 * finishes its outstanding work and then stops (draining). If the sources disagree, leaving takes
 * precedence over live. Confined to the control thread.
 */
public final class TargetDirectory {

    /**
     * Time after which a dispatch to a target that is known to be leaving violates an invariant.
     */
    public static final Duration LEAVING_BOUND = Duration.ofSeconds(5);

    /** Time between two reads of the platform's list while reads succeed. */
    private static final Duration POLL_PERIOD = Duration.ofSeconds(2);

    /** Timeout of a read of the list. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    /** Maximum number of times that failed reads double the poll period. */
    private static final int MAXIMUM_POLL_DOUBLINGS = 3;

    /** Maximum fraction by which jitter shortens the time to the next poll. */
    private static final double POLL_JITTER = 0.2;

    /**
     * Time for which leaving marks of other daemons are ignored after the list has shown a target
     * as live again. Longer than their lists can lag behind this daemon's.
     */
    private static final Duration PEER_MARK_SUPPRESSION = Duration.ofSeconds(60);

    /** Time for which a target that is missing from the list is kept in the directory. */
    private static final Duration ABSENT_RETENTION = Duration.ofMinutes(10);

    /** Maximum number of leaving marks kept for targets that are not in the list yet. */
    private static final int MAXIMUM_UNLISTED_MARKS = 10_000;

    private final InstantSource clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final VirtualMachineList list;
    private final InvariantMonitor invariants;
    private final Timeline timeline;
    private final Map<TargetId, TargetEntry> entries = new LinkedHashMap<>();
    private final Map<TargetId, Instant> unlistedLeavingMarks = new HashMap<>();
    private BiConsumer<Target, TargetAvailability> listener = (target, availability) -> {};
    private List<VirtualMachine> virtualMachines = List.of();
    private Instant listReadAt = Instant.MIN;
    private Scheduler.Cancellable nextPoll = () -> {};

    /** Number of the read in progress; results of older reads are ignored. */
    private long currentReadNumber;

    private int consecutiveFailedReads;
    private boolean running;

    /** Creates an empty directory; {@link #start} begins to read the list. */
    public TargetDirectory(
            InstantSource clock,
            Scheduler scheduler,
            RandomGenerator random,
            VirtualMachineList list,
            InvariantMonitor invariants,
            Timeline timeline) {
        this.clock = Objects.requireNonNull(clock);
        this.scheduler = Objects.requireNonNull(scheduler);
        this.random = Objects.requireNonNull(random);
        this.list = Objects.requireNonNull(list);
        this.invariants = Objects.requireNonNull(invariants);
        this.timeline = Objects.requireNonNull(timeline);
    }

    /** Sets the listener of changes in availability, which is called on the control thread. */
    public void onChange(BiConsumer<Target, TargetAvailability> newListener) {
        listener = Objects.requireNonNull(newListener);
    }

    /** Starts reading the platform's list periodically. */
    public void start() {
        running = true;
        poll();
    }

    /** Stops reading the platform's list. */
    public void stop() {
        running = false;
        nextPoll.cancel();
    }

    private void poll() {
        if (!running) {
            return;
        }
        long number = ++currentReadNumber;
        nextPoll = scheduler.schedule(READ_TIMEOUT, () -> readFailed(number));
        list.read()
                .whenComplete(
                        (listedMachines, failure) ->
                                scheduler.execute(
                                        () -> {
                                            if (failure != null) {
                                                readFailed(number);
                                            } else {
                                                readCompleted(number, listedMachines);
                                            }
                                        }));
    }

    private void readCompleted(long number, List<VirtualMachine> listedMachines) {
        if (number != currentReadNumber) {
            return;
        }
        // An empty list after a non-empty one is taken for a fault of the platform: applying it
        // would take all targets out of service at once.
        if (listedMachines.isEmpty() && !virtualMachines.isEmpty()) {
            readFailed(number);
            return;
        }
        consecutiveFailedReads = 0;
        applyList(listedMachines);
        scheduleNextPoll();
    }

    private void readFailed(long number) {
        if (number != currentReadNumber) {
            return;
        }
        consecutiveFailedReads++;
        reportChanges();
        scheduleNextPoll();
    }

    private void scheduleNextPoll() {
        currentReadNumber++;
        nextPoll.cancel();
        if (!running) {
            return;
        }
        int doublings = Math.min(consecutiveFailedReads, MAXIMUM_POLL_DOUBLINGS);
        double factor = (1 << doublings) * (1 - POLL_JITTER * random.nextDouble());
        Duration delay = Duration.ofNanos((long) (POLL_PERIOD.toNanos() * factor));
        nextPoll = scheduler.schedule(delay, this::poll);
    }

    /** Applies the platform's list. */
    void applyList(List<VirtualMachine> listedMachines) {
        Instant now = clock.instant();
        virtualMachines = List.copyOf(listedMachines);
        listReadAt = now;
        Set<TargetId> listed = new HashSet<>();
        for (VirtualMachine machine : listedMachines) {
            Target target = target(machine);
            if (target != null) {
                listed.add(target.id());
                applyListedTarget(target, machine.state(), now);
            }
        }
        entries.forEach(
                (id, entry) -> {
                    if (!listed.contains(id)) {
                        entry.onUnlisted(now);
                    }
                });
        entries.values().removeIf(entry -> entry.isAbsentSinceBefore(now.minus(ABSENT_RETENTION)));
        unlistedLeavingMarks.values().removeIf(at -> at.isBefore(now.minus(PEER_MARK_SUPPRESSION)));
        reportChanges();
    }

    private void applyListedTarget(Target target, VirtualMachine.State state, Instant now) {
        TargetEntry known = entries.get(target.id());
        TargetEntry entry = known;
        if (known == null) {
            entry = new TargetEntry(target, Instant.MIN);
            if (unlistedLeavingMarks.remove(target.id()) != null) {
                entry.markLeavingFromPeer(now);
            }
        } else if (!known.target().equals(target)) {
            entry = new TargetEntry(target, now.plus(PEER_MARK_SUPPRESSION));
        }
        entries.put(target.id(), entry);
        if (state == VirtualMachine.State.LEAVING) {
            entry.onListedLeaving(now);
        } else {
            entry.onListedLive(now, PEER_MARK_SUPPRESSION);
        }
    }

    /** Returns the target that runs on the VM, or null if the VM runs a daemon. */
    private static Target target(VirtualMachine machine) {
        TargetKind kind =
                switch (machine.role()) {
                    case MODEL_ENGINE -> TargetKind.MODEL_ENGINE;
                    case PLAIN_SERVICE -> TargetKind.PLAIN_SERVICE;
                    case ENTRY -> null;
                };
        if (kind == null) {
            return null;
        }
        return new Target(
                new TargetId(machine.name()),
                kind,
                machine.group(),
                machine.host(),
                machine.port(),
                machine.dataCentre());
    }

    /** Applies an engine's report of its own state. Ignored if the target is unknown. */
    public void observeReport(TargetId target, EngineReport report) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        entry.onResponse(now);
        if (report.leaving()) {
            entry.markLeavingFirstHand(now);
        }
        reportChange(entry, now);
    }

    /** Records that a target has responded. Ignored if the target is unknown. */
    public void observeResponse(TargetId target) {
        TargetEntry entry = entries.get(target);
        if (entry != null) {
            Instant now = clock.instant();
            entry.onResponse(now);
            reportChange(entry, now);
        }
    }

    /**
     * Records that a dispatch failed. A failure that the target itself reported shows that it is
     * running. Ignored if the target is unknown.
     */
    public void observeFailure(TargetId target, TargetFailure.Kind kind) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        switch (kind) {
            case NOT_SENT, BROKEN -> entry.onConnectionFailure(now, random.nextDouble());
            case REFUSED, FAILED, STREAM_UNKNOWN -> entry.onResponse(now);
            default ->
                    throw new IllegalArgumentException(
                            "unknown failure kind " + kind + " of target " + target);
        }
        reportChange(entry, now);
    }

    /**
     * Applies the leaving marks of another daemon. A mark of an unknown target is kept until the
     * list shows the target.
     */
    public void observePeerLeaving(Collection<TargetId> targets) {
        Instant now = clock.instant();
        for (TargetId target : targets) {
            TargetEntry entry = entries.get(target);
            if (entry != null) {
                entry.markLeavingFromPeer(now);
                reportChange(entry, now);
            } else if (unlistedLeavingMarks.size() < MAXIMUM_UNLISTED_MARKS) {
                unlistedLeavingMarks.put(target, now);
            }
        }
    }

    /**
     * Records a dispatch and checks that the target has not been known to be leaving for longer
     * than {@link #LEAVING_BOUND}. Must be called before each dispatch.
     */
    public void beforeDispatch(TargetId target) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        entry.onDispatch(now, random.nextDouble());
        Instant since = entry.leavingSince();
        boolean withinBound = since == null || !since.plus(LEAVING_BOUND).isBefore(now);
        invariants.check(
                Guarantee.LEAVING_TARGET,
                withinBound,
                () -> "work for " + target + ", which is leaving since " + since);
    }

    /** Returns the targets of a kind and group that accept work now. */
    public List<Target> accepting(TargetKind kind, String group) {
        return accepting(kind).stream().filter(target -> target.group().equals(group)).toList();
    }

    /** Returns the targets of a kind that accept work now. */
    public List<Target> accepting(TargetKind kind) {
        Instant now = clock.instant();
        return entries.values().stream()
                .filter(entry -> entry.target().kind() == kind && entry.accepts(now))
                .map(TargetEntry::target)
                .toList();
    }

    /** Returns the target and its availability, if the target is known. */
    public Optional<Map.Entry<Target, TargetAvailability>> find(TargetId target) {
        TargetEntry entry = entries.get(target);
        return entry == null
                ? Optional.empty()
                : Optional.of(Map.entry(entry.target(), entry.availability(clock.instant())));
    }

    /** Returns all known targets and their availability. */
    public Map<Target, TargetAvailability> targets() {
        Instant now = clock.instant();
        Map<Target, TargetAvailability> availabilities = new LinkedHashMap<>();
        entries.values()
                .forEach(entry -> availabilities.put(entry.target(), entry.availability(now)));
        return availabilities;
    }

    /**
     * Returns the targets to announce as leaving in heartbeats, those with the newest marks first.
     */
    public List<TargetId> leavingTargets() {
        Instant now = clock.instant();
        return entries.values().stream()
                .filter(entry -> entry.shouldAnnounceLeaving(now))
                .sorted(Comparator.comparing(TargetEntry::leavingSince).reversed())
                .map(entry -> entry.target().id())
                .toList();
    }

    /** Returns the last list that was read successfully, including the VMs of daemons. */
    public List<VirtualMachine> virtualMachines() {
        return virtualMachines;
    }

    /**
     * Returns the time since the list was last read successfully, or {@link
     * RosterDigest#INFINITE_AGE} if it never was.
     */
    public Duration listAge() {
        return PeerState.age(listReadAt, clock.instant());
    }

    private void reportChanges() {
        Instant now = clock.instant();
        List.copyOf(entries.values()).forEach(entry -> reportChange(entry, now));
    }

    private void reportChange(TargetEntry entry, Instant now) {
        TargetAvailability availability = entry.changedAvailability(now);
        if (availability == null) {
            return;
        }
        EventKind kind =
                switch (availability) {
                    case LIVE -> EventKind.TARGET_UP;
                    case LEAVING -> EventKind.TARGET_LEAVING;
                    case SUSPECT, GONE -> EventKind.TARGET_DOWN;
                };
        timeline.record(kind, entry.target().id().value(), availability.name());
        listener.accept(entry.target(), availability);
    }
}
