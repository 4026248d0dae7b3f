package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.RosterDigest;

/**
 * Makes digests of what was heard of other daemons. Ages and applied offsets are made coarser until
 * they fit: ages are rounded up, offsets down.
 */
final class DigestComposer {

    /** More distinct offsets would need more bits for each member. */
    private static final int MAXIMUM_OFFSETS = 4;

    private static final int MINIMUM_OFFSETS = 2;

    /** With fewer members than this, each offset is sent as it is. */
    private static final int MEMBERS_WITH_EXACT_OFFSETS = 32;

    private static final long STEP_MILLISECONDS = RosterDigest.AGE_STEP.toMillis();
    private static final int AGES_IN_A_BYTE = 2;

    /** Nanoseconds added before a conversion to milliseconds, so that it rounds up. */
    private static final long NANOSECONDS_BELOW_A_MILLISECOND = 999_999;

    /** A digest and its size in bytes, at most. */
    record Sized(RosterDigest digest, int bytes) {}

    /**
     * Returns a digest of the roster's members that were heard lately.
     *
     * @param peers finds what is known of a daemon, or null
     * @param budget bytes that the digest may take
     */
    Sized compose(
            RosterIndex roster,
            Function<DaemonId, PeerState> peers,
            Instant confirmedAt,
            Instant now,
            int budget) {
        List<RosterDigest.Member> members = new ArrayList<>();
        int bytes = HeartbeatSize.DIGEST + (roster.order().size() + 1) / AGES_IN_A_BYTE;
        for (int position = 0; position < roster.order().size(); position++) {
            PeerState peer = peers.apply(roster.order().get(position));
            if (peer == null) {
                continue;
            }
            long steps = steps(PeerState.age(peer.heardAt(), now));
            boolean exception = peer.status() != DaemonStatus.SERVING;
            boolean fits = !exception || bytes + HeartbeatSize.EXCEPTION <= budget;
            if (steps > RosterDigest.MAXIMUM_AGE_STEPS || !fits) {
                continue;
            }
            bytes += exception ? HeartbeatSize.EXCEPTION : 0;
            members.add(
                    new RosterDigest.Member(
                            position,
                            peer.status(),
                            peer.appliedOffset(),
                            RosterDigest.AGE_STEP.multipliedBy(steps)));
        }
        Duration confirmedAge = PeerState.age(confirmedAt, now);
        if (bytes > budget || members.isEmpty()) {
            return bare(roster, confirmedAge);
        }
        long[] offsets = levels(members, MAXIMUM_OFFSETS);
        if (bytes + offsetBytes(offsets, members.size()) > budget) {
            offsets = levels(members, MINIMUM_OFFSETS);
        }
        bytes += offsetBytes(offsets, members.size());
        if (bytes > budget) {
            return bare(roster, confirmedAge);
        }
        RosterDigest digest =
                new RosterDigest(roster.key(), confirmedAge, roundedDown(members, offsets));
        return new Sized(digest, bytes);
    }

    private static Sized bare(RosterIndex roster, Duration confirmedAge) {
        RosterDigest bare = new RosterDigest(roster.key(), confirmedAge, List.of());
        return new Sized(bare, HeartbeatSize.DIGEST);
    }

    /**
     * Returns the offsets to send: all distinct ones, or the extremes and some between them. The
     * highest one is always sent as it is, so that a daemon that is ahead is known as such.
     */
    private static long[] levels(List<RosterDigest.Member> members, int maximum) {
        long[] sorted =
                members.stream().mapToLong(RosterDigest.Member::appliedOffset).sorted().toArray();
        long[] distinct = Arrays.stream(sorted).distinct().toArray();
        boolean exact = distinct.length <= maximum || members.size() < MEMBERS_WITH_EXACT_OFFSETS;
        if (exact && (maximum > MINIMUM_OFFSETS || distinct.length <= maximum)) {
            return distinct;
        }
        long[] levels = new long[maximum];
        for (int level = 0; level < maximum; level++) {
            levels[level] = sorted[(sorted.length - 1) * level / (maximum - 1)];
        }
        return Arrays.stream(levels).distinct().toArray();
    }

    private static List<RosterDigest.Member> roundedDown(
            List<RosterDigest.Member> members, long[] offsets) {
        return members.stream()
                .map(
                        member ->
                                new RosterDigest.Member(
                                        member.position(),
                                        member.status(),
                                        floor(offsets, member.appliedOffset()),
                                        member.age()))
                .toList();
    }

    private static long floor(long[] offsets, long offset) {
        int found = Arrays.binarySearch(offsets, offset);
        return found >= 0 ? offsets[found] : offsets[-found - 2];
    }

    private static int offsetBytes(long[] offsets, int members) {
        int bytes = 0;
        long previous = 0;
        for (long offset : offsets) {
            bytes += HeartbeatSize.varint(offset - previous);
            previous = offset;
        }
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(offsets.length - 1);
        return bytes + (members * bits + Byte.SIZE - 1) / Byte.SIZE;
    }

    private static long steps(Duration age) {
        long milliseconds = age.plusNanos(NANOSECONDS_BELOW_A_MILLISECOND).toMillis();
        return (milliseconds + STEP_MILLISECONDS - 1) / STEP_MILLISECONDS;
    }
}
