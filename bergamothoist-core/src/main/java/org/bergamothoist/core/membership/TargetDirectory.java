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
 * Knows which targets take work, from the platform's list, the engines' reports, traffic, and the
 * leaving marks of other daemons. Leaving takes precedence over live. Confined to the control
 * thread.
 */
public final class TargetDirectory {

    /** Time after which sending work to a target that is known to leave is a violation. */
    public static final Duration LEAVING_BOUND = Duration.ofSeconds(5);

    /** Time between two reads of the platform's list while it answers. */
    private static final Duration POLL_PERIOD = Duration.ofSeconds(2);

    /** Time after which a read of the list counts as failed. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    /** Doublings of the poll period after failed reads. */
    private static final int MAXIMUM_POLL_DOUBLINGS = 3;

    /** Largest part by which jitter shortens the time to the next poll. */
    private static final double POLL_JITTER = 0.2;

    /**
     * Time for which marks of other daemons are ignored after the list has shown a target as live
     * again; longer than their lists can lag behind this one.
     */
    private static final Duration PEER_MARK_SUPPRESSION = Duration.ofSeconds(60);

    /** Time for which a target that the list no longer names is kept. */
    private static final Duration ABSENT_RETENTION = Duration.ofMinutes(10);

    /** Leaving marks kept for targets that the list does not name yet. */
    private static final int MAXIMUM_UNLISTED_MARKS = 10_000;

    private final InstantSource clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final VirtualMachineList list;
    private final InvariantMonitor invariants;
    private final Timeline timeline;
    private final Map<TargetId, TargetEntry> entries = new LinkedHashMap<>();
    private final Map<TargetId, Instant> unlistedMarks = new HashMap<>();
    private BiConsumer<Target, TargetState> listener = (target, state) -> {};
    private List<VirtualMachine> virtualMachines = List.of();
    private Instant listReadAt = Instant.MIN;
    private Scheduler.Cancellable nextPoll = () -> {};
    private long readNumber;
    private int failedReads;
    private boolean running;

    /** Creates a directory without targets; {@link #start} begins to read the list. */
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

    /** Sets the listener of state changes, which is called on the control thread. */
    public void onChange(BiConsumer<Target, TargetState> newListener) {
        listener = Objects.requireNonNull(newListener);
    }

    /** Starts to read the platform's list. */
    public void start() {
        running = true;
        poll();
    }

    /** Stops to read the platform's list. */
    public void stop() {
        running = false;
        nextPoll.cancel();
    }

    private void poll() {
        if (!running) {
            return;
        }
        long number = ++readNumber;
        nextPoll = scheduler.schedule(READ_TIMEOUT, () -> readFailed(number));
        list.read()
                .whenComplete(
                        (machines, failure) ->
                                scheduler.execute(
                                        () -> {
                                            if (failure != null) {
                                                readFailed(number);
                                            } else {
                                                readCompleted(number, machines);
                                            }
                                        }));
    }

    private void readCompleted(long number, List<VirtualMachine> machines) {
        if (number != readNumber) {
            return;
        }
        // An empty list after a full one is taken for a fault of the list: believing it would take
        // every target out of service at once.
        if (machines.isEmpty() && !virtualMachines.isEmpty()) {
            readFailed(number);
            return;
        }
        failedReads = 0;
        observeList(machines);
        scheduleNextPoll();
    }

    private void readFailed(long number) {
        if (number != readNumber) {
            return;
        }
        failedReads++;
        reportChanges();
        scheduleNextPoll();
    }

    private void scheduleNextPoll() {
        readNumber++;
        nextPoll.cancel();
        if (!running) {
            return;
        }
        int doublings = Math.min(failedReads, MAXIMUM_POLL_DOUBLINGS);
        double factor = (1 << doublings) * (1 - POLL_JITTER * random.nextDouble());
        Duration delay = Duration.ofNanos((long) (POLL_PERIOD.toNanos() * factor));
        nextPoll = scheduler.schedule(delay, this::poll);
    }

    /** Takes in the platform's list. */
    void observeList(List<VirtualMachine> machines) {
        Instant now = clock.instant();
        virtualMachines = List.copyOf(machines);
        listReadAt = now;
        Set<TargetId> listed = new HashSet<>();
        for (VirtualMachine machine : machines) {
            Target target = target(machine);
            if (target != null) {
                listed.add(target.id());
                observeListed(target, machine.state(), now);
            }
        }
        entries.forEach(
                (id, entry) -> {
                    if (!listed.contains(id)) {
                        entry.notListed(now);
                    }
                });
        entries.values().removeIf(entry -> entry.absentSinceBefore(now.minus(ABSENT_RETENTION)));
        unlistedMarks.values().removeIf(at -> at.isBefore(now.minus(PEER_MARK_SUPPRESSION)));
        reportChanges();
    }

    private void observeListed(Target target, VirtualMachine.State state, Instant now) {
        TargetEntry known = entries.get(target.id());
        TargetEntry entry = known;
        if (known == null) {
            entry = new TargetEntry(target, Instant.MIN);
            if (unlistedMarks.remove(target.id()) != null) {
                entry.markLeavingFromPeer(now);
            }
        } else if (!known.target().equals(target)) {
            entry = new TargetEntry(target, now.plus(PEER_MARK_SUPPRESSION));
        }
        entries.put(target.id(), entry);
        if (state == VirtualMachine.State.LEAVING) {
            entry.listedLeaving(now);
        } else {
            entry.listedLive(now, PEER_MARK_SUPPRESSION);
        }
    }

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

    /** Takes in an engine's report of itself. */
    public void observeReport(TargetId target, EngineReport report) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        entry.answered(now);
        if (report.leaving()) {
            entry.markLeavingFirstHand(now);
        }
        reportChange(entry, now);
    }

    /** Takes in that a target has answered. */
    public void observeAnswer(TargetId target) {
        TargetEntry entry = entries.get(target);
        if (entry != null) {
            Instant now = clock.instant();
            entry.answered(now);
            reportChange(entry, now);
        }
    }

    /** Takes in that a dispatch failed; a failure that the target itself reports shows life. */
    public void observeFailure(TargetId target, TargetFailure.Kind kind) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        switch (kind) {
            case NOT_SENT, BROKEN -> entry.failed(now, random.nextDouble());
            case REFUSED, FAILED, STREAM_UNKNOWN -> entry.answered(now);
            default -> throw new IllegalArgumentException("unknown failure: " + kind);
        }
        reportChange(entry, now);
    }

    /** Takes in the leaving marks of another daemon. */
    public void observePeerLeaving(Collection<TargetId> targets) {
        Instant now = clock.instant();
        for (TargetId target : targets) {
            TargetEntry entry = entries.get(target);
            if (entry != null) {
                entry.markLeavingFromPeer(now);
                reportChange(entry, now);
            } else if (unlistedMarks.size() < MAXIMUM_UNLISTED_MARKS) {
                unlistedMarks.put(target, now);
            }
        }
    }

    /**
     * Checks that a target that is about to be sent work is not known to be leaving for longer than
     * the bound. Must be called for each dispatch.
     */
    public void beforeDispatch(TargetId target) {
        TargetEntry entry = entries.get(target);
        if (entry == null) {
            return;
        }
        Instant now = clock.instant();
        entry.dispatched(now, random.nextDouble());
        Instant since = entry.leavingSince();
        boolean holds = since == null || !since.plus(LEAVING_BOUND).isBefore(now);
        invariants.check(
                Guarantee.LEAVING_TARGET,
                holds,
                () -> "work for " + target + ", which is leaving since " + since);
    }

    /** Returns the targets of a kind and group that may be given work. */
    public List<Target> accepting(TargetKind kind, String group) {
        return accepting(kind).stream().filter(target -> target.group().equals(group)).toList();
    }

    /** Returns the targets of a kind that may be given work. */
    public List<Target> accepting(TargetKind kind) {
        Instant now = clock.instant();
        return entries.values().stream()
                .filter(entry -> entry.target().kind() == kind && entry.accepts(now))
                .map(TargetEntry::target)
                .toList();
    }

    /** Returns the target and its state, if the target is known. */
    public Optional<Map.Entry<Target, TargetState>> find(TargetId target) {
        TargetEntry entry = entries.get(target);
        return entry == null
                ? Optional.empty()
                : Optional.of(Map.entry(entry.target(), entry.state(clock.instant())));
    }

    /** Returns all known targets and their states. */
    public Map<Target, TargetState> targets() {
        Instant now = clock.instant();
        Map<Target, TargetState> states = new LinkedHashMap<>();
        entries.values().forEach(entry -> states.put(entry.target(), entry.state(now)));
        return states;
    }

    /** Returns the targets to name as leaving in heartbeats, newest first. */
    public List<TargetId> leavingTargets() {
        Instant now = clock.instant();
        return entries.values().stream()
                .filter(entry -> entry.spreadsLeaving(now))
                .sorted(Comparator.comparing(TargetEntry::leavingSince).reversed())
                .map(entry -> entry.target().id())
                .toList();
    }

    /** Returns the last list that could be read, daemons included. */
    public List<VirtualMachine> virtualMachines() {
        return virtualMachines;
    }

    /** Returns the time since the list was read, a long time if it never was. */
    public Duration listAge() {
        return PeerState.age(listReadAt, clock.instant());
    }

    private void reportChanges() {
        Instant now = clock.instant();
        List.copyOf(entries.values()).forEach(entry -> reportChange(entry, now));
    }

    private void reportChange(TargetEntry entry, Instant now) {
        TargetState state = entry.changedState(now);
        if (state == null) {
            return;
        }
        EventKind kind =
                switch (state) {
                    case LIVE -> EventKind.TARGET_UP;
                    case LEAVING -> EventKind.TARGET_LEAVING;
                    case SUSPECT, GONE -> EventKind.TARGET_DOWN;
                };
        timeline.record(kind, entry.target().id().value(), state.name());
        listener.accept(entry.target(), state);
    }
}
