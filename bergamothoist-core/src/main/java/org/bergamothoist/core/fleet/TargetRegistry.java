package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Knows the registered targets. Confined to the control thread.
 *
 * <p>A registration that ends while the registry's source is away may have lapsed only because the
 * target could not renew it. Such a target stays in use until {@link #RENEWAL_GRACE} after the
 * source is back.
 */
public final class TargetRegistry {

    /** Time in which live targets renew a lapsed registration; stated by the platform. */
    public static final Duration RENEWAL_GRACE = Duration.ofSeconds(2);

    private final InstantSource clock;
    private final Map<String, Entry> entries = new HashMap<>();
    private boolean sourceAway;
    private Instant sourceBackAt = Instant.EPOCH;

    /** Creates an empty registry. */
    public TargetRegistry(InstantSource clock) {
        this.clock = clock;
    }

    /** A change that {@link #register} or {@link #remove} made. */
    public enum Change {
        /** Nothing that matters to routing changed. */
        NONE,
        /** A target or a new incarnation of one was added. */
        ADDED,
        /** The target takes no new work from now on. */
        LEAVING,
        /** The target's address, weights or another property changed. */
        UPDATED,
        /** The target is gone. */
        REMOVED,
        /** The registration lapsed while the source was away; the target stays for now. */
        LAPSED
    }

    /**
     * Takes a registration over unless a newer one of the same target is known.
     *
     * @param reportNumber grows with each report of an incarnation
     */
    public Change register(RegisteredTarget target, long reportNumber) {
        Entry known = entries.get(target.id());
        if (known == null) {
            entries.put(target.id(), new Entry(target, reportNumber));
            return Change.ADDED;
        }
        Instant knownStart = known.target.incarnation().startedAt();
        Instant start = target.incarnation().startedAt();
        if (start.isBefore(knownStart)) {
            return Change.NONE;
        }
        if (start.isAfter(knownStart)) {
            entries.put(target.id(), new Entry(target, reportNumber));
            return Change.ADDED;
        }
        if (reportNumber < known.reportNumber) {
            return Change.NONE;
        }
        return update(known, target, reportNumber);
    }

    private Change update(Entry known, RegisteredTarget target, long reportNumber) {
        RegisteredTarget before = known.target;
        known.target = target;
        known.reportNumber = reportNumber;
        known.lapsed = false;
        if (target.leaving() && !before.leaving()) {
            return Change.LEAVING;
        }
        return target.equals(before) ? Change.NONE : Change.UPDATED;
    }

    /** Notes the end of a registration. */
    public Change remove(String id) {
        Entry known = entries.get(id);
        if (known == null) {
            return Change.NONE;
        }
        if (!known.target.leaving() && mayHaveLapsed()) {
            known.lapsed = true;
            return Change.LAPSED;
        }
        entries.remove(id);
        return Change.REMOVED;
    }

    private boolean mayHaveLapsed() {
        return sourceAway || clock.instant().isBefore(sourceBackAt.plus(RENEWAL_GRACE));
    }

    /** Notes that registrations cannot be read. */
    public void sourceLost() {
        sourceAway = true;
    }

    /** Notes that registrations can be read again. */
    public void sourceRegained() {
        if (sourceAway) {
            sourceAway = false;
            sourceBackAt = clock.instant();
        }
    }

    /** Drops lapsed registrations whose grace is over; returns their targets. */
    public List<String> dropLapsed() {
        if (mayHaveLapsed()) {
            return List.of();
        }
        List<String> dropped =
                entries.values().stream()
                        .filter(entry -> entry.lapsed)
                        .map(entry -> entry.target.id())
                        .toList();
        dropped.forEach(entries::remove);
        return dropped;
    }

    /** Returns the targets of a service that take new work. */
    public List<RegisteredTarget> accepting(String service) {
        return entries.values().stream()
                .map(entry -> entry.target)
                .filter(target -> target.service().equals(service) && !target.leaving())
                .toList();
    }

    /** Returns all targets, leaving ones included. */
    public Collection<RegisteredTarget> all() {
        return entries.values().stream().map(entry -> entry.target).toList();
    }

    /** Returns a target, or empty. */
    public Optional<RegisteredTarget> find(String id) {
        return Optional.ofNullable(entries.get(id)).map(entry -> entry.target);
    }

    private static final class Entry {

        private RegisteredTarget target;
        private long reportNumber;
        private boolean lapsed;

        private Entry(RegisteredTarget target, long reportNumber) {
            this.target = target;
            this.reportNumber = reportNumber;
        }
    }
}
