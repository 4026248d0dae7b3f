package org.bergamothoist.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/**
 * Gives the members of a roster positions. Former rosters are remembered, so that digests of
 * daemons that are a few records behind can still be read.
 */
final class RosterIndex {

    private static final int REMEMBERED = 16;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<RosterMember> ORDER =
            Comparator.comparingLong(RosterMember::joinOffset).thenComparing(RosterMember::daemon);

    private final Map<Long, List<DaemonId>> rosters =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, List<DaemonId>> eldest) {
                    return size() > REMEMBERED;
                }
            };
    private List<RosterMember> current = List.of();
    private Map<DaemonId, RosterMember> members = Map.of();
    private List<DaemonId> order = List.of();
    private long key;

    /** Takes over the roster if it has changed. */
    void update(List<RosterMember> roster) {
        if (roster == current) {
            return;
        }
        current = roster;
        Map<DaemonId, RosterMember> byDaemon = new HashMap<>();
        roster.forEach(member -> byDaemon.put(member.daemon(), member));
        members = byDaemon;
        order = roster.stream().sorted(ORDER).map(RosterMember::daemon).toList();
        key = hash(order);
        rosters.put(key, order);
    }

    List<RosterMember> current() {
        return current;
    }

    boolean contains(DaemonId daemon) {
        return members.containsKey(daemon);
    }

    /** Returns the daemons by position. */
    List<DaemonId> order() {
        return order;
    }

    long key() {
        return key;
    }

    /** Returns the daemons of the roster with the key by position; empty if it is not known. */
    List<DaemonId> order(long rosterKey) {
        return rosters.getOrDefault(rosterKey, List.of());
    }

    private static long hash(List<DaemonId> daemons) {
        long hash = FNV_OFFSET;
        for (DaemonId daemon : daemons) {
            String text = daemon.toString() + '\0';
            for (int index = 0; index < text.length(); index++) {
                hash = (hash ^ text.charAt(index)) * FNV_PRIME;
            }
        }
        return hash;
    }
}
