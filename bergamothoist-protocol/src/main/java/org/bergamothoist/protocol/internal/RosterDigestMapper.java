package org.bergamothoist.protocol.internal;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.protocol.ProtocolException;
import org.bergamothoist.protocol.generated.PeerMessages;

/** Packs roster digests into a few bits for each member. */
final class RosterDigestMapper {

    private static final int AGE_BITS = 4;
    private static final int NOT_KNOWN = RosterDigest.MAXIMUM_AGE_STEPS + 1;
    private static final long STEP_MILLISECONDS = RosterDigest.AGE_STEP.toMillis();

    private RosterDigestMapper() {}

    static PeerMessages.RosterDigest toMessage(RosterDigest digest) {
        PeerMessages.RosterDigest.Builder builder =
                PeerMessages.RosterDigest.newBuilder()
                        .setRosterKey(digest.rosterKey())
                        .setConfirmedAge(digest.confirmedAge().toMillis());
        List<RosterDigest.Member> members =
                digest.members().stream()
                        .filter(member -> steps(member.age()) < NOT_KNOWN)
                        .toList();
        if (members.isEmpty()) {
            return builder.build();
        }
        long[] offsets =
                members.stream()
                        .mapToLong(RosterDigest.Member::appliedOffset)
                        .sorted()
                        .distinct()
                        .toArray();
        addOffsets(builder, offsets);
        addMembers(builder, members, offsets);
        return builder.build();
    }

    private static void addOffsets(PeerMessages.RosterDigest.Builder builder, long[] offsets) {
        long previous = 0;
        for (long offset : offsets) {
            builder.addOffsets(offset - previous);
            previous = offset;
        }
    }

    private static void addMembers(
            PeerMessages.RosterDigest.Builder builder,
            List<RosterDigest.Member> members,
            long[] offsets) {
        int positions = members.get(members.size() - 1).position() + 1;
        int[] ages = new int[positions];
        Arrays.fill(ages, NOT_KNOWN);
        int[] indexes = new int[members.size()];
        for (int number = 0; number < indexes.length; number++) {
            RosterDigest.Member member = members.get(number);
            ages[member.position()] = (int) steps(member.age());
            indexes[number] = Arrays.binarySearch(offsets, member.appliedOffset());
            if (member.status() == DaemonStatus.STARTING) {
                builder.addStarting(member.position());
            } else if (member.status() == DaemonStatus.LEAVING) {
                builder.addLeaving(member.position());
            }
        }
        builder.setAges(BitPacking.pack(ages, AGE_BITS));
        builder.setOffsetIndexes(BitPacking.pack(indexes, BitPacking.bitsFor(offsets.length)));
    }

    static RosterDigest toDigest(PeerMessages.RosterDigest message) {
        Duration confirmedAge =
                Duration.ofMillis(PeerMessageMapper.notNegative(message.getConfirmedAge()));
        ByteString ages = message.getAges();
        int positions = ages.size() * Byte.SIZE / AGE_BITS;
        if (positions > RosterDigest.MAXIMUM_MEMBERS) {
            throw new ProtocolException("roster digest with too many members");
        }
        long[] offsets = offsets(message.getOffsetsList());
        int bits = BitPacking.bitsFor(offsets.length);
        Set<Integer> starting = new HashSet<>(message.getStartingList());
        Set<Integer> leaving = new HashSet<>(message.getLeavingList());
        List<RosterDigest.Member> members = new ArrayList<>();
        for (int position = 0; position < positions; position++) {
            int steps = BitPacking.unpack(ages, position, AGE_BITS);
            if (steps == NOT_KNOWN) {
                continue;
            }
            int index = BitPacking.unpack(message.getOffsetIndexes(), members.size(), bits);
            if (index >= offsets.length) {
                throw new ProtocolException("roster digest names an offset that it does not have");
            }
            members.add(
                    new RosterDigest.Member(
                            position,
                            status(position, starting, leaving),
                            offsets[index],
                            RosterDigest.AGE_STEP.multipliedBy(steps)));
        }
        return new RosterDigest(message.getRosterKey(), confirmedAge, members);
    }

    private static DaemonStatus status(int position, Set<Integer> starting, Set<Integer> leaving) {
        if (leaving.contains(position)) {
            return DaemonStatus.LEAVING;
        }
        return starting.contains(position) ? DaemonStatus.STARTING : DaemonStatus.SERVING;
    }

    private static long[] offsets(List<Long> differences) {
        if (differences.size() > RosterDigest.MAXIMUM_MEMBERS) {
            throw new ProtocolException("roster digest with too many offsets");
        }
        long[] offsets = new long[differences.size()];
        long offset = 0;
        for (int index = 0; index < offsets.length; index++) {
            offset += differences.get(index);
            offsets[index] = offset;
        }
        return offsets;
    }

    private static long steps(Duration age) {
        long milliseconds = PeerMessageMapper.roundedUp(age);
        return (milliseconds + STEP_MILLISECONDS - 1) / STEP_MILLISECONDS;
    }
}
