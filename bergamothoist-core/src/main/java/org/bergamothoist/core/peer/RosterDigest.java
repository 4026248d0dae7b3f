package org.bergamothoist.core.peer;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;

/**
 * A daemon's latest information about the members of its roster. Members are identified by position
 * instead of by name, which keeps the digest of 420 members below 400 bytes.
 *
 * @param rosterKey identifies the roster that the positions refer to; a receiver that does not know
 *     that roster ignores the members
 * @param confirmedAge time since any daemon known to the sender confirmed the end of the log
 * @param members sorted by position; members without recent information are absent
 */
public record RosterDigest(long rosterKey, Duration confirmedAge, List<Member> members) {

    /**
     * Resolution of ages. Ages are rounded up, so that information never looks newer than it is.
     */
    public static final Duration AGE_STEP = Duration.ofMillis(200);

    /** Maximum age of a member, in steps of {@link #AGE_STEP}; older members are omitted. */
    public static final int MAXIMUM_AGE_STEPS = 14;

    /** Exclusive upper bound of positions. */
    public static final int MAXIMUM_MEMBERS = 8192;

    /** Age of what never happened; longer ages are reported as this one. */
    public static final Duration INFINITE_AGE = Duration.ofDays(365);

    public RosterDigest {
        Objects.requireNonNull(confirmedAge);
        members = List.copyOf(members);
    }

    /** Returns a digest without members. */
    public static RosterDigest empty() {
        return new RosterDigest(0, INFINITE_AGE, List.of());
    }

    /** Returns a copy in which all ages are increased by the transit time. */
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
     * The latest information about one member.
     *
     * @param position index in the roster
     * @param appliedOffset lower bound of the offset of the last record that it has applied
     * @param age upper bound of the time since the member sent this information
     */
    public record Member(int position, DaemonStatus status, long appliedOffset, Duration age) {}
}
