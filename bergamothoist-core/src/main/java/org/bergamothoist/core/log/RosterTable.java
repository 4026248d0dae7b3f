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

/**
 * The daemon roster (cluster membership). It has at most one incarnation of each daemon name and
 * one member at each peer address.
 */
final class RosterTable {

    private final TreeMap<String, RosterMember> byName = new TreeMap<>();
    private final TreeMap<String, String> nameByPeerAddress = new TreeMap<>();

    ApplyResult join(long offset, DaemonJoined joined) {
        DaemonId daemon = joined.daemon();
        RosterMember sameName = byName.get(daemon.name());
        if (sameName != null && sameName.daemon().incarnation() >= daemon.incarnation()) {
            return new Unchanged();
        }
        List<RosterMember> removed = new ArrayList<>();
        remove(daemon.name()).ifPresent(removed::add);
        String previousMember = nameByPeerAddress.get(joined.peerAddress());
        if (previousMember != null) {
            remove(previousMember).ifPresent(removed::add);
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
        lowerSmallestRosterSizes();
        return new RosterChanged(Optional.of(member), removed);
    }

    ApplyResult leave(DaemonId daemon) {
        RosterMember member = byName.get(daemon.name());
        if (member == null || !member.daemon().equals(daemon)) {
            return new Unchanged();
        }
        remove(daemon.name());
        lowerSmallestRosterSizes();
        return new RosterChanged(Optional.empty(), List.of(member));
    }

    /**
     * Lowers each member's smallest roster size to the current size. The linear cost is acceptable,
     * since the roster is small (420 members) and changes a few thousand times a day.
     */
    private void lowerSmallestRosterSizes() {
        int size = byName.size();
        byName.replaceAll(
                (name, member) ->
                        member.smallestRosterSizeSinceJoin() <= size
                                ? member
                                : withSmallestRosterSize(member, size));
    }

    private static RosterMember withSmallestRosterSize(RosterMember member, int size) {
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
            nameByPeerAddress.remove(member.peerAddress());
        }
        return Optional.ofNullable(member);
    }

    private void put(RosterMember member) {
        byName.put(member.daemon().name(), member);
        nameByPeerAddress.put(member.peerAddress(), member.daemon().name());
    }

    Collection<RosterMember> members() {
        return Collections.unmodifiableCollection(byName.values());
    }

    Optional<RosterMember> member(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    void restore(List<RosterMember> members) {
        byName.clear();
        nameByPeerAddress.clear();
        members.forEach(this::put);
    }
}
