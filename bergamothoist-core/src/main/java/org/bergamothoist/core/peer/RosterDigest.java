package org.bergamothoist.core.peer;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;

/**
 * What a daemon has heard of the members of its roster, by position in the roster. Positions
 * instead of names keep the digest of 420 members below 400 bytes.
 *
 * @param rosterKey names the roster whose order is used; a receiver that does not know that roster
 *     ignores the members
 * @param confirmedAge time since any daemon that the sender knows of confirmed the end of the log
 * @param members sorted by position; members that were not heard lately are absent
 */
public record RosterDigest(long rosterKey, Duration confirmedAge, List<Member> members) {

    /** Resolution of ages. Ages are rounded up, so that information never seems newer. */
    public static final Duration AGE_STEP = Duration.ofMillis(200);

    /** Number of age steps that can be expressed; older members are left out. */
    public static final int MAXIMUM_AGE_STEPS = 14;

    /** Highest position, exclusive. */
    public static final int MAXIMUM_MEMBERS = 8192;

    /** Age of a confirmation that never was. */
    public static final Duration NEVER_CONFIRMED = Duration.ofDays(365);

    public RosterDigest {
        Objects.requireNonNull(confirmedAge);
        members = List.copyOf(members);
    }

    /** Returns a digest without members. */
    public static RosterDigest empty() {
        return new RosterDigest(0, NEVER_CONFIRMED, List.of());
    }

    /** Returns the digest with all ages grown by the time under way. */
    RosterDigest delayedBy(Duration transit) {
        List<Member> older =
                members.stream()
                        .map(
                                member ->
                                        new Member(
                                                member.position,
                                                member.status,
                                                member.appliedOffset,
                                                member.age.plus(transit)))
                        .toList();
        return new RosterDigest(rosterKey, confirmedAge.plus(transit), older);
    }

    /**
     * What was heard of one member.
     *
     * @param appliedOffset lower bound of the last record that it has folded
     * @param age upper bound of the time since it said so
     */
    public record Member(int position, DaemonStatus status, long appliedOffset, Duration age) {}
}
