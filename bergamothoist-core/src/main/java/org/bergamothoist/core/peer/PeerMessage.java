package org.bergamothoist.core.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.platform.LogEntry;

/** A message from one daemon to another. */
public sealed interface PeerMessage {

    /**
     * Says that the sender lives, and what it knows.
     *
     * @param appliedOffset last record that the sender has folded
     * @param confirmedAge time since the sender's view of the log was last confirmed to be current
     * @param demand requests a second that the sender was asked for, by organisation
     * @param leavingTargets targets that the sender knows to be leaving
     * @param outstanding the sender's own outstanding work by target
     * @param others what the sender has heard of other daemons, newest first, bounded
     */
    record Heartbeat(
            DaemonStatus status,
            long sequence,
            long appliedOffset,
            Duration confirmedAge,
            Map<OrganisationId, Integer> demand,
            List<TargetId> leavingTargets,
            Map<TargetId, Outstanding> outstanding,
            List<PeerDigest> others)
            implements PeerMessage {
        public Heartbeat {
            demand = Map.copyOf(demand);
            leavingTargets = List.copyOf(leavingTargets);
            outstanding = Map.copyOf(outstanding);
            others = List.copyOf(others);
        }
    }

    /** Whether a daemon takes new requests. */
    enum DaemonStatus {
        /** It has no configuration yet. */
        STARTING,
        /** It serves. */
        SERVING,
        /** It finishes what it has and will stop. */
        LEAVING
    }

    /** Work that a daemon has at a target: prompt tokens not yet answered, and running streams. */
    record Outstanding(int promptTokens, int streams) {}

    /**
     * What one daemon has heard of another.
     *
     * @param sequence sequence number of the newest heartbeat heard, directly or not
     * @param age time since that heartbeat was received by whoever received it directly
     */
    record PeerDigest(
            DaemonId daemon,
            DaemonStatus status,
            long sequence,
            long appliedOffset,
            Duration confirmedAge,
            Duration age) {}

    /**
     * Log records that the receiver lacks.
     *
     * @param confirmedAge time since the sender confirmed that {@code endOffset} is the log's end
     */
    record LogTailRelay(List<LogEntry> entries, long endOffset, Duration confirmedAge)
            implements PeerMessage {
        public LogTailRelay {
            entries = List.copyOf(entries);
        }
    }

    /** Asks for the state at start. */
    record SnapshotRequest() implements PeerMessage {}

    /** Answers with the state and the hot prefixes. */
    record SnapshotAnswer(SharedStateSnapshot state, Duration confirmedAge, List<HotPrefix> hot)
            implements PeerMessage {
        public SnapshotAnswer {
            hot = List.copyOf(hot);
        }
    }

    /** Block hashes that an engine incarnation holds and that are asked for often. */
    record HotPrefix(TargetId target, EngineIncarnation incarnation, List<Long> blockHashes) {
        public HotPrefix {
            blockHashes = List.copyOf(blockHashes);
        }
    }

    /** Newly hot or moved prefixes. */
    record HotPrefixes(List<HotPrefix> prefixes) implements PeerMessage {
        public HotPrefixes {
            prefixes = List.copyOf(prefixes);
        }
    }

    /** Spreads the loss of an engine faster than the log does. */
    record LossNotice(long noticeId, LogRecord.LossReport report) implements PeerMessage {}

    /** Confirms a loss notice. */
    record LossNoticeAck(long noticeId) implements PeerMessage {}
}
