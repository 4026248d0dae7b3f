package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.limit.LimitShareCalculator;
import org.bergamothoist.core.log.LogAppender;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.membership.PeerSnapshot;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.quarantine.QuarantineController;

/** Handles the messages of other daemons. Confined to the control thread. */
final class PeerProtocol implements QuarantineController.LossPublisher {

    /** Records sent at once to a peer that lags. */
    private static final int RELAYED_RECORDS = 256;

    /** Hot blocks named to a peer that starts. */
    private static final int HOT_BLOCKS = 4_096;

    private static final Duration APPEND_DEADLINE = Duration.ofSeconds(30);

    /** Age of a peer's confirmation from which on it is told of a newer one. */
    private static final Duration RELAY_AGE = Duration.ofSeconds(1);

    private final Parts parts;
    private QuarantineController quarantine;

    PeerProtocol(Parts parts) {
        this.parts = parts;
        parts.load().setLoadAnnouncer(parts.membership()::announceLoad);
    }

    /** What the protocol works with. */
    record Parts(
            PeerNetwork network,
            PeerMembership membership,
            SharedState state,
            LogTail tail,
            LogAppender appender,
            CacheIndex index,
            LoadEstimator load,
            LimitShareCalculator share,
            InstantSource clock) {}

    /** Completes the wiring with what is created later. */
    void connect(QuarantineController controller) {
        quarantine = controller;
    }

    void onMessage(DaemonId sender, String address, PeerMessage message, Instant receivedAt) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(sender, address, heartbeat, receivedAt);
        } else if (message instanceof PeerMessage.LogTailRelay relay) {
            parts.tail().acceptRelay(relay, since(receivedAt));
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            answerSnapshotRequest(address);
        } else if (message instanceof PeerMessage.SnapshotAnswer answer) {
            parts.tail().acceptSnapshot(answer.state(), answer.confirmedAge(), since(receivedAt));
            parts.index().importHotPrefixes(answer.hot());
        } else if (message instanceof PeerMessage.LossNotice notice) {
            quarantine.onLossNotice(notice);
            parts.network().send(address, new PeerMessage.LossNoticeAck(notice.noticeId()));
        } else if (message instanceof PeerMessage.LossNoticeAck acknowledgement) {
            quarantine.onAcknowledgement(sender, acknowledgement);
        } else if (message instanceof PeerMessage.HotPrefixes hot) {
            parts.index().importHotPrefixes(hot.prefixes());
        }
    }

    private Duration since(Instant instant) {
        return Duration.between(instant, parts.clock().instant());
    }

    private void onHeartbeat(
            DaemonId sender, String address, PeerMessage.Heartbeat heartbeat, Instant receivedAt) {
        parts.membership().onHeartbeat(sender, heartbeat, receivedAt);
        parts.membership().replyToNonMember(sender, address);
        parts.load().onHeartbeat(sender, heartbeat.outstanding());
        parts.share().onHeartbeat(sender, heartbeat.demand());
        long own = parts.tail().appliedOffset();
        if (heartbeat.appliedOffset() > own) {
            parts.tail().readNow();
            return;
        }
        // A peer that the log does not answer stays current through the relay, even without
        // records.
        boolean lags = heartbeat.appliedOffset() < own;
        boolean unconfirmed = heartbeat.confirmedAge().compareTo(RELAY_AGE) > 0;
        if (heartbeat.appliedOffset() > 0 && (lags || unconfirmed)) {
            parts.tail()
                    .relayAfter(heartbeat.appliedOffset(), RELAYED_RECORDS)
                    .ifPresent(relay -> parts.network().composeAndSend(address, () -> relay));
        }
    }

    private void answerSnapshotRequest(String address) {
        if (parts.state().appliedOffset() == 0) {
            return;
        }
        parts.network()
                .send(
                        address,
                        new PeerMessage.SnapshotAnswer(
                                parts.state().snapshot(),
                                parts.tail().confirmedAge().orElse(RosterDigest.NEVER_CONFIRMED),
                                parts.index().hottestPrefixes(HOT_BLOCKS)));
    }

    @Override
    public Collection<DaemonId> broadcast(PeerMessage.LossNotice notice) {
        List<DaemonId> told = new ArrayList<>();
        for (PeerSnapshot peer : parts.membership().peers()) {
            if (peer.live()) {
                told.add(peer.daemon());
                send(peer.daemon(), notice);
            }
        }
        return told;
    }

    private void send(DaemonId peer, PeerMessage message) {
        parts.state()
                .rosterMember(peer.name())
                .ifPresent(member -> parts.network().send(member.peerAddress(), message));
    }

    @Override
    public CompletionStage<?> append(LogRecord record) {
        return parts.appender().append(record, APPEND_DEADLINE);
    }
}
