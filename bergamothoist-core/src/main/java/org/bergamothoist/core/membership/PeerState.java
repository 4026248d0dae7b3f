package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Heartbeat;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.RosterDigest;

/**
 * What is known of one incarnation of a daemon. Updates are monotonic: times, offsets and statuses
 * only advance, so that duplicate and reordered messages have no effect.
 */
final class PeerState {

    private final DaemonId daemon;
    private final Map<OrganisationId, Reported<Integer>> demand = new HashMap<>();
    private final Map<TargetId, Reported<Outstanding>> outstanding = new HashMap<>();
    private DaemonStatus status = DaemonStatus.STARTING;
    private long sequence = Long.MIN_VALUE;
    private long appliedOffset;
    private Instant lastSeenAt = Instant.MIN;
    private Instant lastSeenDirectlyAt = Instant.MIN;
    private Instant confirmedAt = Instant.MIN;
    private Instant lastReplyAt = Instant.MIN;

    private record Reported<T>(T value, Instant at) {}

    PeerState(DaemonId daemon) {
        this.daemon = daemon;
    }

    /**
     * Applies a heartbeat of the daemon itself. Returns false for a duplicate or an older one,
     * which has no effect.
     */
    boolean applyHeartbeat(Heartbeat heartbeat, Instant receivedAt) {
        if (heartbeat.sequence() <= sequence) {
            return false;
        }
        sequence = heartbeat.sequence();
        Instant sentAt = receivedAt.minus(heartbeat.age());
        lastSeenDirectlyAt = later(lastSeenDirectlyAt, sentAt);
        confirmedAt = later(confirmedAt, receivedAt.minus(heartbeat.confirmedAge()));
        advance(heartbeat.status(), heartbeat.appliedOffset(), sentAt);
        if (heartbeat.complete()) {
            demand.clear();
            outstanding.clear();
        }
        heartbeat.demand().forEach((key, value) -> demand.put(key, new Reported<>(value, sentAt)));
        heartbeat
                .outstanding()
                .forEach((key, value) -> outstanding.put(key, new Reported<>(value, sentAt)));
        return true;
    }

    /** Applies this peer's entry in the digest of another daemon. */
    void applyDigest(RosterDigest.Member member, Instant receivedAt) {
        advance(member.status(), member.appliedOffset(), receivedAt.minus(member.age()));
    }

    private void advance(DaemonStatus newStatus, long newOffset, Instant sentAt) {
        lastSeenAt = later(lastSeenAt, sentAt);
        appliedOffset = Math.max(appliedOffset, newOffset);
        if (newStatus.compareTo(status) > 0) {
            status = newStatus;
        }
    }

    /**
     * Returns whether the last reply to its heartbeats is at least a period old; if so, records
     * that a reply is sent now.
     */
    boolean tryReply(Instant now, Duration period) {
        if (lastReplyAt.isAfter(now.minus(period))) {
            return false;
        }
        lastReplyAt = now;
        return true;
    }

    DaemonId daemon() {
        return daemon;
    }

    DaemonStatus status() {
        return status;
    }

    long appliedOffset() {
        return appliedOffset;
    }

    /**
     * Returns the last time at which it is known to have been alive, directly or through others.
     */
    Instant lastSeenAt() {
        return lastSeenAt;
    }

    /**
     * Returns when it last confirmed the end of the log, or the given bound if the newest
     * information came through others.
     */
    Instant confirmedAt(Instant boundIfIndirect) {
        return isFirstHand() ? confirmedAt : boundIfIndirect;
    }

    /** Returns whether the newest information came from the daemon itself. */
    boolean isFirstHand() {
        return lastSeenDirectlyAt.equals(lastSeenAt);
    }

    /** Passes on the demand that the daemon reported, without entries older than the instant. */
    void forEachDemand(Instant notBefore, BiConsumer<OrganisationId, Integer> consumer) {
        forEach(demand, notBefore, consumer);
    }

    /** Passes on the outstanding work that it reported, without entries older than the instant. */
    void forEachOutstanding(Instant notBefore, BiConsumer<TargetId, Outstanding> consumer) {
        forEach(outstanding, notBefore, consumer);
    }

    private static <K, V> void forEach(
            Map<K, Reported<V>> map, Instant notBefore, BiConsumer<K, V> consumer) {
        map.values().removeIf(reported -> reported.at.isBefore(notBefore));
        map.forEach((key, reported) -> consumer.accept(key, reported.value));
    }

    static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    /**
     * Returns the time between the instants, at least zero and at most {@link
     * RosterDigest#INFINITE_AGE}.
     */
    static Duration age(Instant then, Instant now) {
        if (then.isBefore(now.minus(RosterDigest.INFINITE_AGE))) {
            return RosterDigest.INFINITE_AGE;
        }
        return then.isAfter(now) ? Duration.ZERO : Duration.between(then, now);
    }
}
