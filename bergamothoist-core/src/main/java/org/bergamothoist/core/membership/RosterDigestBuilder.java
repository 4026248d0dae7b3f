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
 * Builds digests of what is known of other daemons. Ages and applied offsets are quantised to fit
 * into the size budget: ages are rounded up and offsets down, so that a receiver never takes a
 * daemon for more current than it is.
 */
final class RosterDigestBuilder {

    /** Distinct offsets sent for a large roster; more would need over 2 bits for each member. */
    private static final int MAXIMUM_OFFSET_LEVELS = 4;

    /** Distinct offsets sent if the digest would exceed its budget otherwise. */
    private static final int REDUCED_OFFSET_LEVELS = 2;

    /**
     * Number of members from which offsets are quantised; fewer members' offsets are sent exactly.
     */
    private static final int QUANTISATION_MINIMUM_MEMBERS = 32;

    private static final long AGE_STEP_MILLISECONDS = RosterDigest.AGE_STEP.toMillis();

    /** Ages packed into one byte, 4 bits each. */
    private static final int AGES_PER_BYTE = 2;

    /** Added to a duration before its conversion to milliseconds, so that it rounds up. */
    private static final long ROUND_UP_NANOSECONDS = 999_999;

    /** A digest and the upper bound of its encoded size in bytes. */
    record SizedDigest(RosterDigest digest, int bytes) {}

    /**
     * Returns a digest of the roster's members that were seen recently. Members that do not serve
     * and no longer fit are left out; if the rest does not fit either, the digest has no members.
     *
     * @param peers returns what is known of a daemon, or null
     * @param confirmedAt last time at which any daemon is known to have confirmed the log's end
     * @param budget maximum encoded size of the digest in bytes
     */
    SizedDigest build(
            RosterIndex roster,
            Function<DaemonId, PeerState> peers,
            Instant confirmedAt,
            Instant now,
            int budget) {
        List<RosterDigest.Member> members = new ArrayList<>();
        int bytes = HeartbeatSize.DIGEST + (roster.daemons().size() + 1) / AGES_PER_BYTE;
        for (int position = 0; position < roster.daemons().size(); position++) {
            PeerState peer = peers.apply(roster.daemons().get(position));
            if (peer == null) {
                continue;
            }
            long ageSteps = ageSteps(PeerState.age(peer.lastSeenAt(), now));
            boolean serving = peer.status() == DaemonStatus.SERVING;
            boolean fits = serving || bytes + HeartbeatSize.NON_SERVING_MEMBER <= budget;
            if (ageSteps > RosterDigest.MAXIMUM_AGE_STEPS || !fits) {
                continue;
            }
            bytes += serving ? 0 : HeartbeatSize.NON_SERVING_MEMBER;
            members.add(
                    new RosterDigest.Member(
                            position,
                            peer.status(),
                            peer.appliedOffset(),
                            RosterDigest.AGE_STEP.multipliedBy(ageSteps)));
        }
        Duration confirmedAge = PeerState.age(confirmedAt, now);
        if (bytes > budget || members.isEmpty()) {
            return withoutMembers(roster, confirmedAge);
        }
        long[] offsets = offsetLevels(members, MAXIMUM_OFFSET_LEVELS);
        if (bytes + offsetBytes(offsets, members.size()) > budget) {
            offsets = offsetLevels(members, REDUCED_OFFSET_LEVELS);
        }
        bytes += offsetBytes(offsets, members.size());
        if (bytes > budget) {
            return withoutMembers(roster, confirmedAge);
        }
        RosterDigest digest =
                new RosterDigest(
                        roster.key(), confirmedAge, withOffsetsRoundedDown(members, offsets));
        return new SizedDigest(digest, bytes);
    }

    private static SizedDigest withoutMembers(RosterIndex roster, Duration confirmedAge) {
        RosterDigest digest = new RosterDigest(roster.key(), confirmedAge, List.of());
        return new SizedDigest(digest, HeartbeatSize.DIGEST);
    }

    /**
     * Returns the offsets to send: all distinct ones, or the lowest, the highest and evenly spaced
     * quantiles between them. The highest one is always exact, so that receivers can tell that some
     * daemon is ahead of them.
     */
    private static long[] offsetLevels(List<RosterDigest.Member> members, int maximum) {
        long[] sorted =
                members.stream().mapToLong(RosterDigest.Member::appliedOffset).sorted().toArray();
        long[] distinct = Arrays.stream(sorted).distinct().toArray();
        boolean exact = distinct.length <= maximum || members.size() < QUANTISATION_MINIMUM_MEMBERS;
        if (exact && (maximum > REDUCED_OFFSET_LEVELS || distinct.length <= maximum)) {
            return distinct;
        }
        long[] levels = new long[maximum];
        for (int level = 0; level < maximum; level++) {
            levels[level] = sorted[(sorted.length - 1) * level / (maximum - 1)];
        }
        return Arrays.stream(levels).distinct().toArray();
    }

    private static List<RosterDigest.Member> withOffsetsRoundedDown(
            List<RosterDigest.Member> members, long[] offsets) {
        return members.stream()
                .map(
                        member ->
                                new RosterDigest.Member(
                                        member.position(),
                                        member.status(),
                                        largestNotAbove(offsets, member.appliedOffset()),
                                        member.age()))
                .toList();
    }

    private static long largestNotAbove(long[] offsets, long offset) {
        int found = Arrays.binarySearch(offsets, offset);
        return found >= 0 ? offsets[found] : offsets[-found - 2];
    }

    /** Returns the size of the offsets, delta-encoded, and of each member's index into them. */
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

    /** Returns the age in steps of {@link RosterDigest#AGE_STEP}, rounded up. */
    private static long ageSteps(Duration age) {
        long milliseconds = age.plusNanos(ROUND_UP_NANOSECONDS).toMillis();
        return (milliseconds + AGE_STEP_MILLISECONDS - 1) / AGE_STEP_MILLISECONDS;
    }
}
