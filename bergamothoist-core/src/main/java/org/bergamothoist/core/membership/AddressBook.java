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

/** Answers callers which daemons to use. Confined to the control thread. */
public final class AddressBook {

    /** Most addresses in an answer. */
    public static final int MAXIMUM_ADDRESSES = 6;

    /** Daemons that callers with the same affinity text share. */
    private static final int AFFINITY_DAEMONS = 3;

    private static final long HASH_FACTOR = 0x9e3779b97f4a7c15L;
    private static final int HASH_SHIFT = 32;

    private final Supplier<List<RosterMember>> servingMembers;
    private final String ownDataCentre;
    private final Duration lifetime;
    private long rotation;

    /**
     * Creates an address book.
     *
     * @param servingMembers daemons that live, serve and are not leaving
     * @param ownDataCentre data centre assumed for callers that do not name theirs
     * @param lifetime time for which a caller may keep an answer
     */
    public AddressBook(
            Supplier<List<RosterMember>> servingMembers, String ownDataCentre, Duration lifetime) {
        this.servingMembers = Objects.requireNonNull(servingMembers);
        this.ownDataCentre = Objects.requireNonNull(ownDataCentre);
        this.lifetime = Objects.requireNonNull(lifetime);
    }

    /**
     * Returns the addresses for a caller, best first.
     *
     * <p>Daemons of the caller's data centre come first, starting at another one for each answer.
     * With an affinity text, the same few daemons come first in the same order for all callers that
     * share it, in whatever data centre, since 1 ms between data centres costs less than a missed
     * prefix. The order must not change from answer to answer: the shares of an organisation's
     * limit follow its demand within seconds, and a caller that moves faster is refused below the
     * limit.
     *
     * @param dataCentre the caller's data centre, if known
     * @param affinity text that related callers share, if any
     */
    public AddressAnswer answer(Optional<String> dataCentre, Optional<String> affinity) {
        List<RosterMember> serving = new ArrayList<>(servingMembers.get());
        serving.sort(Comparator.comparing(RosterMember::daemon));
        List<RosterMember> chosen = new ArrayList<>();
        affinity.ifPresent(text -> moveAffine(text, serving, chosen));
        String near = dataCentre.orElse(ownDataCentre);
        addRotated(serving, chosen, near, true);
        addRotated(serving, chosen, near, false);
        rotation++;
        return new AddressAnswer(
                chosen.stream()
                        .limit(MAXIMUM_ADDRESSES)
                        .map(
                                member ->
                                        new AddressAnswer.Address(
                                                member.callerAddress(), member.dataCentre()))
                        .toList(),
                lifetime);
    }

    /**
     * Moves the daemons with the highest hashes of text and name. When a daemon leaves, only the
     * texts that it had move to another one.
     */
    private void moveAffine(String text, List<RosterMember> from, List<RosterMember> to) {
        List<RosterMember> ranked = new ArrayList<>(from);
        ranked.sort(
                Comparator.comparingLong(
                        (RosterMember member) -> hash(text, member.daemon().name())));
        List<RosterMember> best = ranked.subList(0, Math.min(AFFINITY_DAEMONS, ranked.size()));
        to.addAll(best);
        from.removeAll(best);
    }

    private void addRotated(
            List<RosterMember> from, List<RosterMember> to, String dataCentre, boolean near) {
        List<RosterMember> matching =
                from.stream()
                        .filter(member -> member.dataCentre().equals(dataCentre) == near)
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

    private static long hash(String text, String name) {
        long hash = 0;
        String both = text + '\0' + name;
        for (int index = 0; index < both.length(); index++) {
            hash = (hash ^ both.charAt(index)) * HASH_FACTOR;
            hash ^= hash >>> HASH_SHIFT;
        }
        return hash;
    }
}
