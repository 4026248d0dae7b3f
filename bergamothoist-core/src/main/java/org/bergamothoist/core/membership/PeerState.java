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
 * What is known of one incarnation of a daemon. Every update only moves forward: later times,
 * larger offsets, later statuses. So duplicates and reordered messages do no harm.
 */
final class PeerState {

    private final DaemonId daemon;
    private final Map<OrganisationId, Reported<Integer>> demand = new HashMap<>();
    private final Map<TargetId, Reported<Outstanding>> outstanding = new HashMap<>();
    private DaemonStatus status = DaemonStatus.STARTING;
    private long sequence = Long.MIN_VALUE;
    private long appliedOffset;
    private Instant heardAt = Instant.MIN;
    private Instant heardDirectlyAt = Instant.MIN;
    private Instant confirmedAt = Instant.MIN;
    private Instant answeredAt = Instant.MIN;

    private record Reported<T>(T value, Instant at) {}

    PeerState(DaemonId daemon) {
        this.daemon = daemon;
    }

    /** Takes in a heartbeat of the daemon itself; returns false for a duplicate or an older one. */
    boolean hear(Heartbeat heartbeat, Instant receivedAt) {
        if (heartbeat.sequence() <= sequence) {
            return false;
        }
        sequence = heartbeat.sequence();
        Instant madeAt = receivedAt.minus(heartbeat.age());
        heardDirectlyAt = later(heardDirectlyAt, madeAt);
        confirmedAt = later(confirmedAt, receivedAt.minus(heartbeat.confirmedAge()));
        advance(heartbeat.status(), heartbeat.appliedOffset(), madeAt);
        if (heartbeat.complete()) {
            demand.clear();
            outstanding.clear();
        }
        heartbeat.demand().forEach((key, value) -> demand.put(key, new Reported<>(value, madeAt)));
        heartbeat
                .outstanding()
                .forEach((key, value) -> outstanding.put(key, new Reported<>(value, madeAt)));
        return true;
    }

    /** Takes in what another daemon has heard of it. */
    void hearOf(RosterDigest.Member member, Instant receivedAt) {
        advance(member.status(), member.appliedOffset(), receivedAt.minus(member.age()));
    }

    private void advance(DaemonStatus newStatus, long newOffset, Instant madeAt) {
        heardAt = later(heardAt, madeAt);
        appliedOffset = Math.max(appliedOffset, newOffset);
        if (newStatus.compareTo(status) > 0) {
            status = newStatus;
        }
    }

    /** Returns whether its heartbeat should be answered now, and notes that it is. */
    boolean answerDue(Instant now, Duration period) {
        if (answeredAt.isAfter(now.minus(period))) {
            return false;
        }
        answeredAt = now;
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

    Instant heardAt() {
        return heardAt;
    }

    /**
     * Returns when it confirmed the end of the log, or the bound if it was heard through others.
     */
    Instant confirmedAt(Instant boundThroughOthers) {
        return isFirstHand() ? confirmedAt : boundThroughOthers;
    }

    /** Returns whether the newest information came from the daemon itself. */
    boolean isFirstHand() {
        return heardDirectlyAt.equals(heardAt);
    }

    void forEachDemand(Instant notBefore, BiConsumer<OrganisationId, Integer> consumer) {
        forEach(demand, notBefore, consumer);
    }

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

    /** Returns the time between the instants, at least zero; a long time for one that never was. */
    static Duration age(Instant then, Instant now) {
        if (then.isBefore(now.minus(RosterDigest.NEVER_CONFIRMED))) {
            return RosterDigest.NEVER_CONFIRMED;
        }
        return then.isAfter(now) ? Duration.ZERO : Duration.between(then, now);
    }
}
