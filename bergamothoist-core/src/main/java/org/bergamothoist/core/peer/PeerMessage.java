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
     * Returns a copy of the message in which all ages are increased by the transit time. The
     * network calls this for each received message: an age that ignored the time spent in buffers
     * or in a process pause would make old information look current.
     *
     * @param transit upper bound of the time since the message was created
     */
    default PeerMessage delayedBy(Duration transit) {
        return this;
    }

    /**
     * Reports that the sender is alive, its load and its latest information about other daemons.
     * Bounded in size.
     *
     * @param sequence number of the heartbeat, increasing within a run of the sender
     * @param age time since the sender created the heartbeat; zero when sent
     * @param appliedOffset offset of the last log record that the sender has applied
     * @param confirmedAge time since the sender last confirmed that it had read the whole log, up
     *     to the receipt of the message
     * @param demand requests per second that the sender receives, by organisation
     * @param leavingTargets targets that the sender knows to be leaving
     * @param outstanding the sender's own outstanding work by target
     * @param complete whether demand and outstanding contain all entries of the sender; otherwise
     *     they are partial, and entries that are absent are unchanged
     * @param others the sender's latest information about other daemons
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

    /** Whether a daemon accepts new requests. */
    enum DaemonStatus {
        /** The daemon has no configuration yet. */
        STARTING,
        /** The daemon accepts requests. */
        SERVING,
        /** The daemon finishes its running requests and then stops. */
        LEAVING
    }

    /**
     * Outstanding work of a daemon at a target.
     *
     * @param promptTokens prompt tokens still to be computed
     * @param streams number of running streams
     */
    record Outstanding(int promptTokens, int streams) {}

    /**
     * Log records that the receiver has not applied yet.
     *
     * @param endOffset end of the log, exclusive
     * @param confirmedAge time since the sender confirmed that {@code endOffset} is the end of the
     *     log
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

    /** Requests the replicated state; sent by a daemon that starts. */
    record SnapshotRequest() implements PeerMessage {}

    /** Response to a {@link SnapshotRequest}: the replicated state and frequently used prefixes. */
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

    /** Block hashes of a frequently requested prefix in the cache of an engine incarnation. */
    record HotPrefix(TargetId target, EngineIncarnation incarnation, List<Long> blockHashes) {
        public HotPrefix {
            blockHashes = List.copyOf(blockHashes);
        }
    }

    /** Prefixes that have become frequently used or are cached on another engine now. */
    record HotPrefixes(List<HotPrefix> prefixes) implements PeerMessage {
        public HotPrefixes {
            prefixes = List.copyOf(prefixes);
        }
    }

    /** Reports the loss of an engine directly to a peer, which is faster than through the log. */
    record LossNotice(long noticeId, LogRecord.LossReport report) implements PeerMessage {}

    /** Acknowledges a {@link LossNotice}. */
    record LossNoticeAck(long noticeId) implements PeerMessage {}
}
