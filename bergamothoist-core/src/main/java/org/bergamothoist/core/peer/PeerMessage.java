package org.bergamothoist.core.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.platform.LogEntry;

/** A message from one daemon to another. */
public sealed interface PeerMessage {

    /**
     * Returns the message as it stands after it was under way for a time; all ages in it grow. The
     * network calls this for each message received, since an age that ignores the time spent in
     * buffers or in a pause of a process would make old information look current.
     *
     * @param transit upper bound of the time since the message was made
     */
    default PeerMessage delayedBy(Duration transit) {
        return this;
    }

    /**
     * Says that the sender lives, and what it knows. Bounded in size.
     *
     * @param age time since the sender made it; zero when sent
     * @param appliedOffset last record that the sender has folded
     * @param confirmedAge time since the sender's view of the log was last confirmed to be current,
     *     counted until the message was received
     * @param demand requests a second that the sender was asked for, by organisation
     * @param leavingTargets targets that the sender knows to be leaving
     * @param outstanding the sender's own outstanding work by target
     * @param complete whether demand and outstanding are all that the sender has; otherwise they
     *     are a part, and what is missing is unchanged
     * @param others what the sender has heard of other daemons
     */
    record Heartbeat(
            DaemonStatus status,
            long sequence,
            Duration age,
            long appliedOffset,
            Duration confirmedAge,
            Map<OrganisationId, Integer> demand,
            List<TargetId> leavingTargets,
            Map<TargetId, Outstanding> outstanding,
            boolean complete,
            RosterDigest others)
            implements PeerMessage {
        public Heartbeat {
            demand = Map.copyOf(demand);
            leavingTargets = List.copyOf(leavingTargets);
            outstanding = Map.copyOf(outstanding);
        }

        @Override
        public Heartbeat delayedBy(Duration transit) {
            return new Heartbeat(
                    status,
                    sequence,
                    age.plus(transit),
                    appliedOffset,
                    confirmedAge.plus(transit),
                    demand,
                    leavingTargets,
                    outstanding,
                    complete,
                    others.delayedBy(transit));
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
     * Log records that the receiver lacks.
     *
     * @param confirmedAge time since the sender confirmed that {@code endOffset} is the log's end
     */
    record LogTailRelay(List<LogEntry> entries, long endOffset, Duration confirmedAge)
            implements PeerMessage {
        public LogTailRelay {
            entries = List.copyOf(entries);
        }

        @Override
        public LogTailRelay delayedBy(Duration transit) {
            return new LogTailRelay(entries, endOffset, confirmedAge.plus(transit));
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

        @Override
        public SnapshotAnswer delayedBy(Duration transit) {
            return new SnapshotAnswer(state, confirmedAge.plus(transit), hot);
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
