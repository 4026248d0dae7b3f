package org.bergamothoist.core.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ApplyResult.RosterChanged;
import org.bergamothoist.core.log.ApplyResult.Unchanged;
import org.bergamothoist.core.log.LogRecord.DaemonJoined;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/** The daemon roster: at most one incarnation of each name, and one member at each peer address. */
final class RosterTable {

    private final TreeMap<String, RosterMember> byName = new TreeMap<>();
    private final TreeMap<String, String> nameByAddress = new TreeMap<>();

    ApplyResult join(long offset, DaemonJoined joined) {
        DaemonId daemon = joined.daemon();
        RosterMember sameName = byName.get(daemon.name());
        if (sameName != null && sameName.daemon().incarnation() >= daemon.incarnation()) {
            return new Unchanged();
        }
        List<RosterMember> left = new ArrayList<>();
        remove(daemon.name()).ifPresent(left::add);
        String occupant = nameByAddress.get(joined.peerAddress());
        if (occupant != null) {
            remove(occupant).ifPresent(left::add);
        }
        RosterMember member =
                new RosterMember(
                        daemon,
                        joined.virtualMachine(),
                        joined.peerAddress(),
                        joined.callerAddress(),
                        joined.dataCentre(),
                        offset,
                        byName.size() + 1);
        put(member);
        lowerSmallest();
        return new RosterChanged(Optional.of(member), left);
    }

    ApplyResult leave(DaemonId daemon) {
        RosterMember member = byName.get(daemon.name());
        if (member == null || !member.daemon().equals(daemon)) {
            return new Unchanged();
        }
        remove(daemon.name());
        lowerSmallest();
        return new RosterChanged(Optional.empty(), List.of(member));
    }

    /**
     * Lowers each member's smallest roster to the present size. This walks the whole roster, which
     * is small (420 members) and changes a few thousand times a day.
     */
    private void lowerSmallest() {
        int size = byName.size();
        byName.replaceAll(
                (name, member) ->
                        member.smallestRosterSizeSinceJoin() <= size
                                ? member
                                : withSmallest(member, size));
    }

    private static RosterMember withSmallest(RosterMember member, int size) {
        return new RosterMember(
                member.daemon(),
                member.virtualMachine(),
                member.peerAddress(),
                member.callerAddress(),
                member.dataCentre(),
                member.joinOffset(),
                size);
    }

    private Optional<RosterMember> remove(String name) {
        RosterMember member = byName.remove(name);
        if (member != null) {
            nameByAddress.remove(member.peerAddress());
        }
        return Optional.ofNullable(member);
    }

    private void put(RosterMember member) {
        byName.put(member.daemon().name(), member);
        nameByAddress.put(member.peerAddress(), member.daemon().name());
    }

    Collection<RosterMember> members() {
        return Collections.unmodifiableCollection(byName.values());
    }

    Optional<RosterMember> member(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    void restore(List<RosterMember> members) {
        byName.clear();
        nameByAddress.clear();
        members.forEach(this::put);
    }
}
