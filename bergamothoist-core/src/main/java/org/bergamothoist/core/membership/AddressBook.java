package org.bergamothoist.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/** Selects the daemons that a caller should connect to. Confined to the control thread. */
public final class AddressBook {

    /** Maximum number of addresses returned to a caller. */
    public static final int MAXIMUM_ADDRESSES = 6;

    /** Number of daemons preferred by all callers with the same affinity key. */
    private static final int DAEMONS_PER_AFFINITY = 3;

    /** 2^64 divided by the golden ratio; spreads similar inputs over the hash range. */
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private static final int HASH_SHIFT = 32;

    private final Supplier<List<RosterMember>> servingMembers;
    private final String ownDataCentre;
    private final Duration lifetime;
    private long rotation;

    /**
     * Creates an address book.
     *
     * @param servingMembers supplies the daemons that are live and serving
     * @param ownDataCentre data centre assumed for callers that do not state theirs
     * @param lifetime time for which a caller may cache the addresses
     */
    public AddressBook(
            Supplier<List<RosterMember>> servingMembers, String ownDataCentre, Duration lifetime) {
        this.servingMembers = Objects.requireNonNull(servingMembers);
        this.ownDataCentre = Objects.requireNonNull(ownDataCentre);
        this.lifetime = Objects.requireNonNull(lifetime);
    }

    /**
     * Returns the addresses for a caller, in order of preference.
     *
     * <p>Daemons of the caller's data centre come first. The list is rotated on each call, so that
     * callers do not all connect to the same daemon.
     *
     * <p>With an affinity key, the same few daemons come first in the same order for all callers
     * with that key, whatever their data centre, since 1 ms between data centres costs less than a
     * prefix cache miss. Their order is not rotated: each daemon's share of an organisation's rate
     * limit follows demand only within seconds, so that a caller that changes daemons faster would
     * be refused below the limit.
     *
     * @param dataCentre the caller's data centre, if known
     * @param affinity key that related callers share, if any
     */
    public DaemonAddresses addressesFor(Optional<String> dataCentre, Optional<String> affinity) {
        List<RosterMember> serving = new ArrayList<>(servingMembers.get());
        serving.sort(Comparator.comparing(RosterMember::daemon));
        List<RosterMember> chosen = new ArrayList<>();
        affinity.ifPresent(key -> moveAffinityDaemons(key, serving, chosen));
        String callerDataCentre = dataCentre.orElse(ownDataCentre);
        addRotated(serving, chosen, callerDataCentre, true);
        addRotated(serving, chosen, callerDataCentre, false);
        rotation++;
        return new DaemonAddresses(
                chosen.stream()
                        .limit(MAXIMUM_ADDRESSES)
                        .map(
                                member ->
                                        new DaemonAddresses.Address(
                                                member.callerAddress(), member.dataCentre()))
                        .toList(),
                lifetime);
    }

    /**
     * Moves the daemons that rank first for the affinity key by rendezvous hashing. When a daemon
     * leaves, only the keys that it ranked first for move to another daemon.
     */
    private void moveAffinityDaemons(String key, List<RosterMember> from, List<RosterMember> to) {
        List<RosterMember> ranked = new ArrayList<>(from);
        ranked.sort(
                Comparator.comparingLong(
                        (RosterMember member) -> hash(key, member.daemon().name())));
        List<RosterMember> preferred =
                ranked.subList(0, Math.min(DAEMONS_PER_AFFINITY, ranked.size()));
        to.addAll(preferred);
        from.removeAll(preferred);
    }

    private void addRotated(
            List<RosterMember> from, List<RosterMember> to, String dataCentre, boolean local) {
        List<RosterMember> matching =
                from.stream()
                        .filter(member -> member.dataCentre().equals(dataCentre) == local)
                        .toList();
        to.addAll(rotated(matching));
    }

    private List<RosterMember> rotated(List<RosterMember> members) {
        List<RosterMember> result = new ArrayList<>(members);
        if (!result.isEmpty()) {
            Collections.rotate(result, (int) -(rotation % result.size()));
        }
        return result;
    }

    private static long hash(String key, String name) {
        long hash = 0;
        String input = key + '\0' + name;
        for (int index = 0; index < input.length(); index++) {
            hash = (hash ^ input.charAt(index)) * HASH_MULTIPLIER;
            hash ^= hash >>> HASH_SHIFT;
        }
        return hash;
    }
}
