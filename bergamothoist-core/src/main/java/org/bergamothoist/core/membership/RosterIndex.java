package org.bergamothoist.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/**
 * Numbers the members of a roster (the daemons that have joined according to the log), so that a
 * digest can identify them by position. Former rosters are kept, so that digests of daemons that
 * are a few log records behind can still be read.
 */
final class RosterIndex {

    /** Maximum number of rosters kept, the current one included; the oldest is evicted. */
    private static final int MAXIMUM_ROSTERS = 16;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<RosterMember> POSITION_ORDER =
            Comparator.comparingLong(RosterMember::joinOffset).thenComparing(RosterMember::daemon);

    private final Map<Long, List<DaemonId>> daemonsByRosterKey =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, List<DaemonId>> eldest) {
                    return size() > MAXIMUM_ROSTERS;
                }
            };
    private List<RosterMember> current = List.of();
    private Map<DaemonId, RosterMember> members = Map.of();
    private List<DaemonId> daemons = List.of();
    private long key;

    /** Replaces the current roster unless the given one is the same object. */
    void update(List<RosterMember> roster) {
        if (roster == current) {
            return;
        }
        current = roster;
        Map<DaemonId, RosterMember> byDaemon = new HashMap<>();
        roster.forEach(member -> byDaemon.put(member.daemon(), member));
        members = byDaemon;
        daemons = roster.stream().sorted(POSITION_ORDER).map(RosterMember::daemon).toList();
        key = hash(daemons);
        daemonsByRosterKey.put(key, daemons);
    }

    /** Returns the current roster in the order in which it was given. */
    List<RosterMember> current() {
        return current;
    }

    boolean contains(DaemonId daemon) {
        return members.containsKey(daemon);
    }

    /** Returns the current roster's daemons in the order of their positions. */
    List<DaemonId> daemons() {
        return daemons;
    }

    /** Returns the hash that identifies the current roster in a digest. */
    long key() {
        return key;
    }

    /**
     * Returns the daemons of the roster with the key in the order of their positions; empty if the
     * roster is not known.
     */
    List<DaemonId> daemons(long rosterKey) {
        return daemonsByRosterKey.getOrDefault(rosterKey, List.of());
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
