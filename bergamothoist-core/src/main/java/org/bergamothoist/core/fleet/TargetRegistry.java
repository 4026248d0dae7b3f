package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The registered targets. Confined to the control thread.
 *
 * <p>A registration that ends while the platform's store is unavailable may have lapsed only
 * because the target could not renew it. Such a target stays in use until {@link #RENEWAL_GRACE}
 * after the store is available again. If another daemon reads the end of the registration while
 * this one cannot read the store, the store is available to others, and the period starts at once.
 */
public final class TargetRegistry {

    /**
     * Time within which live targets renew a lapsed registration, as guaranteed by the platform.
     */
    public static final Duration RENEWAL_GRACE = Duration.ofSeconds(2);

    /** Maximum number of targets whose end is remembered, which bounds the memory. */
    private static final int MAXIMUM_ENDED = 2_000;

    private final InstantSource clock;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Entry> ended = new LinkedHashMap<>();
    private boolean storeUnavailable;
    private Instant storeAvailableAt = Instant.EPOCH;

    /** Creates an empty registry. */
    public TargetRegistry(InstantSource clock) {
        this.clock = clock;
    }

    /** The effect of {@link #register} or {@link #remove}. */
    public enum Change {
        /** Nothing that affects routing changed. */
        NONE,
        /** A target or a new incarnation of one was added. */
        ADDED,
        /** The target accepts no new requests from now on. */
        LEAVING,
        /** The target's address, weights or another property changed. */
        UPDATED,
        /** The target was removed. */
        REMOVED,
        /** The registration lapsed while the store was unavailable; the target stays for now. */
        LAPSED
    }

    /**
     * Stores a registration unless a newer one of the same target is known, or it had ended: the
     * store may have come back from a copy that contains it.
     *
     * @param reportNumber number that increases with each registration record of an incarnation
     */
    public Change register(RegisteredTarget target, long reportNumber) {
        Entry known = entries.get(target.id());
        if (known == null && hasEnded(target, reportNumber)) {
            return Change.NONE;
        }
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

    /** Removes a target whose registration has ended, or marks it as lapsed. */
    public Change remove(String id) {
        Entry known = entries.get(id);
        if (known == null) {
            return Change.NONE;
        }
        if (!known.target.leaving() && mayHaveLapsed()) {
            known.lapsed = true;
            known.inUseUntil = storeUnavailable ? clock.instant().plus(RENEWAL_GRACE) : Instant.MAX;
            return Change.LAPSED;
        }
        end(id);
        return Change.REMOVED;
    }

    private void end(String id) {
        ended.remove(id);
        ended.put(id, entries.remove(id));
        if (ended.size() > MAXIMUM_ENDED) {
            ended.remove(ended.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a registration was already known when the target's registration ended, so
     * that it is no sign that the target is back.
     */
    public boolean hasEnded(RegisteredTarget target, long reportNumber) {
        Entry last = ended.get(target.id());
        if (last == null) {
            return false;
        }
        int order = order(target, reportNumber, last.target, last.reportNumber);
        return order <= 0;
    }

    /** Compares two registrations of a target: those of a later start or report are greater. */
    public static int order(
            RegisteredTarget target, long reportNumber, RegisteredTarget other, long otherNumber) {
        int byStart = target.incarnation().startedAt().compareTo(other.incarnation().startedAt());
        return byStart != 0 ? byStart : Long.compare(reportNumber, otherNumber);
    }

    /** Returns whether a registration may have ended only because it could not be renewed. */
    public boolean mayHaveLapsed() {
        return storeUnavailable || clock.instant().isBefore(storeAvailableAt.plus(RENEWAL_GRACE));
    }

    /** Records that registrations cannot be read. */
    public void onStoreUnavailable() {
        storeUnavailable = true;
    }

    /** Records that registrations can be read again. */
    public void onStoreAvailable() {
        if (storeUnavailable) {
            storeUnavailable = false;
            storeAvailableAt = clock.instant();
        }
    }

    /**
     * Records that the store has come back from an older copy. Registrations that it lacks may be
     * missing only because they were lost; live targets write them again within the grace period.
     */
    public void onStoreFallback() {
        storeAvailableAt = clock.instant();
        entries.values().forEach(entry -> entry.inUseUntil = Instant.MAX);
    }

    /** Removes lapsed registrations whose grace period is over; returns their targets. */
    public List<RegisteredTarget> removeLapsed() {
        Instant now = clock.instant();
        boolean gracePeriodOver = !mayHaveLapsed();
        List<RegisteredTarget> removed =
                entries.values().stream()
                        .filter(entry -> entry.lapsed)
                        .filter(entry -> gracePeriodOver || !now.isBefore(entry.inUseUntil))
                        .map(entry -> entry.target)
                        .toList();
        removed.forEach(target -> end(target.id()));
        return removed;
    }

    /** Returns the targets of a service that accept new requests. */
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

    /** Returns the target with the identifier, or empty if there is none. */
    public Optional<RegisteredTarget> find(String id) {
        return Optional.ofNullable(entries.get(id)).map(entry -> entry.target);
    }

    private static final class Entry {

        private RegisteredTarget target;
        private long reportNumber;
        private boolean lapsed;

        /** End of the grace period if another daemon has read the end of the registration. */
        private Instant inUseUntil = Instant.MAX;

        private Entry(RegisteredTarget target, long reportNumber) {
            this.target = target;
            this.reportNumber = reportNumber;
        }
    }
}
