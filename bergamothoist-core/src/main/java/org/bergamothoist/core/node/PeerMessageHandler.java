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

/** Handles messages from other daemons. Confined to the control thread. */
final class PeerMessageHandler implements QuarantineController.LossPublisher {

    /** Maximum number of log records relayed in one message to a peer that lags behind. */
    private static final int MAXIMUM_RELAYED_RECORDS = 256;

    /** Maximum number of frequently used blocks in a snapshot for a starting peer. */
    private static final int MAXIMUM_HOT_BLOCKS = 4_096;

    private static final Duration APPEND_DEADLINE = Duration.ofSeconds(30);

    /** A peer whose confirmation is older than this is sent a newer one. */
    private static final Duration RELAY_CONFIRMED_AGE = Duration.ofSeconds(1);

    private final Dependencies dependencies;
    private QuarantineController quarantine;

    PeerMessageHandler(Dependencies dependencies) {
        this.dependencies = dependencies;
        dependencies.load().setLoadAnnouncer(dependencies.membership()::announceLoad);
    }

    /** The components that messages are passed to. */
    record Dependencies(
            PeerNetwork network,
            PeerMembership membership,
            SharedState state,
            LogTail tail,
            LogAppender appender,
            CacheIndex index,
            LoadEstimator load,
            LimitShareCalculator share,
            InstantSource clock) {}

    /** Sets the controller, which is created after this object. */
    void connect(QuarantineController controller) {
        quarantine = controller;
    }

    void onMessage(DaemonId sender, String address, PeerMessage message, Instant receivedAt) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            onHeartbeat(sender, address, heartbeat, receivedAt);
        } else if (message instanceof PeerMessage.LogTailRelay relay) {
            dependencies.tail().acceptRelay(relay, elapsedSince(receivedAt));
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            replyToSnapshotRequest(address);
        } else if (message instanceof PeerMessage.SnapshotAnswer answer) {
            dependencies
                    .tail()
                    .acceptSnapshot(
                            answer.state(), answer.confirmedAge(), elapsedSince(receivedAt));
            dependencies.index().importHotPrefixes(answer.hot());
        } else if (message instanceof PeerMessage.LossNotice notice) {
            quarantine.onLossNotice(notice);
            dependencies.network().send(address, new PeerMessage.LossNoticeAck(notice.noticeId()));
        } else if (message instanceof PeerMessage.LossNoticeAck acknowledgement) {
            quarantine.onAcknowledgement(sender, acknowledgement);
        } else if (message instanceof PeerMessage.HotPrefixes hot) {
            dependencies.index().importHotPrefixes(hot.prefixes());
        }
    }

    private Duration elapsedSince(Instant instant) {
        return Duration.between(instant, dependencies.clock().instant());
    }

    private void onHeartbeat(
            DaemonId sender, String address, PeerMessage.Heartbeat heartbeat, Instant receivedAt) {
        dependencies.membership().onHeartbeat(sender, heartbeat, receivedAt);
        dependencies.membership().replyToNonMember(sender, address);
        dependencies.load().onHeartbeat(sender, heartbeat.outstanding());
        dependencies.share().onHeartbeat(sender, heartbeat.demand());
        if (dependencies.tail().hasFallenBack()) {
            return;
        }
        long ownOffset = dependencies.tail().appliedOffset();
        if (heartbeat.appliedOffset() > ownOffset) {
            dependencies.tail().readNow();
            return;
        }
        // A peer that cannot reach the log stays current through relays, even empty ones.
        boolean lags = heartbeat.appliedOffset() < ownOffset;
        boolean unconfirmed = heartbeat.confirmedAge().compareTo(RELAY_CONFIRMED_AGE) > 0;
        if (heartbeat.appliedOffset() > 0 && (lags || unconfirmed)) {
            dependencies
                    .tail()
                    .relayAfter(heartbeat.appliedOffset(), MAXIMUM_RELAYED_RECORDS)
                    .ifPresent(
                            relay -> dependencies.network().composeAndSend(address, () -> relay));
        }
    }

    private void replyToSnapshotRequest(String address) {
        if (dependencies.state().appliedOffset() == 0 || dependencies.tail().hasFallenBack()) {
            return;
        }
        dependencies
                .network()
                .send(
                        address,
                        new PeerMessage.SnapshotAnswer(
                                dependencies.state().snapshot(),
                                dependencies
                                        .tail()
                                        .confirmedAge()
                                        .orElse(RosterDigest.INFINITE_AGE),
                                dependencies.index().hottestPrefixes(MAXIMUM_HOT_BLOCKS)));
    }

    @Override
    public Collection<DaemonId> broadcast(PeerMessage.LossNotice notice) {
        List<DaemonId> recipients = new ArrayList<>();
        for (PeerSnapshot peer : dependencies.membership().peers()) {
            if (peer.live()) {
                recipients.add(peer.daemon());
                send(peer.daemon(), notice);
            }
        }
        return recipients;
    }

    private void send(DaemonId peer, PeerMessage message) {
        dependencies
                .state()
                .rosterMember(peer.name())
                .ifPresent(member -> dependencies.network().send(member.peerAddress(), message));
    }

    @Override
    public CompletionStage<?> append(LogRecord record) {
        return dependencies.appender().append(record, APPEND_DEADLINE);
    }
}
