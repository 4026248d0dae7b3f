package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.peer.PeerMessage.Heartbeat;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.RosterDigest;

/** Builds heartbeats of bounded size. */
final class HeartbeatBuilder {

    /** Leaving targets may take up this fraction of the size budget: one in four bytes. */
    private static final int LEAVING_BUDGET_DIVISOR = 4;

    private final HeartbeatSource source;
    private final RosterDigestBuilder digestBuilder = new RosterDigestBuilder();
    private final HeartbeatEntrySelector<OrganisationId, Integer> demandSelector =
            new HeartbeatEntrySelector<>(
                    0,
                    Integer::longValue,
                    (organisation, value) -> HeartbeatSize.entry(organisation.value(), value, 0));
    private final HeartbeatEntrySelector<TargetId, Outstanding> outstandingSelector =
            new HeartbeatEntrySelector<>(
                    new Outstanding(0, 0),
                    value -> value.promptTokens() + value.streams(),
                    (target, value) ->
                            HeartbeatSize.entry(
                                    target.value(), value.promptTokens(), value.streams()));
    private long sequence;
    private int nextLeavingTarget;

    HeartbeatBuilder(HeartbeatSource source) {
        this.source = source;
    }

    /**
     * Builds the next heartbeat.
     *
     * @param peers returns what is known of a daemon, or null
     * @param confirmedAt last time at which any daemon is known to have confirmed the log's end
     * @param bytes maximum encoded size in bytes
     */
    Heartbeat build(
            RosterIndex roster,
            Function<DaemonId, PeerState> peers,
            Instant confirmedAt,
            Instant now,
            int bytes) {
        sequence++;
        int budget = bytes - HeartbeatSize.FIXED;
        List<TargetId> leaving = leavingTargets(budget / LEAVING_BUDGET_DIVISOR);
        for (TargetId target : leaving) {
            budget -= HeartbeatSize.string(target.value());
        }
        RosterDigestBuilder.SizedDigest digest =
                digestBuilder.build(roster, peers, confirmedAt, now, budget);
        budget -= digest.bytes();
        HeartbeatEntrySelector.Selection<TargetId, Outstanding> sentOutstanding =
                outstandingSelector.select(source.outstanding(), budget / 2);
        budget -= sentOutstanding.bytes();
        HeartbeatEntrySelector.Selection<OrganisationId, Integer> sentDemand =
                demandSelector.select(source.demand(), budget);
        return new Heartbeat(
                source.status(),
                sequence,
                Duration.ZERO,
                source.appliedOffset(),
                capped(source.confirmedAge()),
                sentDemand.entries(),
                leaving,
                sentOutstanding.entries(),
                sentDemand.complete() && sentOutstanding.complete(),
                digest.digest());
    }

    /**
     * Returns the leaving targets that fit into the budget in bytes. The selection continues with
     * the remaining targets in the next heartbeat.
     */
    private List<TargetId> leavingTargets(int budget) {
        List<TargetId> all = source.leavingTargets();
        List<TargetId> chosen = new ArrayList<>();
        int bytes = 0;
        while (chosen.size() < all.size()) {
            TargetId target = all.get((nextLeavingTarget + chosen.size()) % all.size());
            bytes += HeartbeatSize.string(target.value());
            if (bytes > budget) {
                break;
            }
            chosen.add(target);
        }
        boolean complete = chosen.size() == all.size();
        nextLeavingTarget = complete ? 0 : (nextLeavingTarget + chosen.size()) % all.size();
        return chosen;
    }

    /** Returns the age, limited to the largest one that a message can carry. */
    static Duration capped(Duration age) {
        return age.compareTo(RosterDigest.INFINITE_AGE) > 0 ? RosterDigest.INFINITE_AGE : age;
    }
}
