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

/** Makes heartbeats of bounded size. */
final class HeartbeatComposer {

    /** Part of the budget that leaving targets may take. */
    private static final int LEAVING_DIVISOR = 4;

    private final HeartbeatSource source;
    private final DigestComposer digests = new DigestComposer();
    private final ShareComposer<OrganisationId, Integer> demand =
            new ShareComposer<>(
                    0,
                    Integer::longValue,
                    (organisation, value) -> HeartbeatSize.entry(organisation.value(), value, 0));
    private final ShareComposer<TargetId, Outstanding> outstanding =
            new ShareComposer<>(
                    new Outstanding(0, 0),
                    value -> value.promptTokens() + value.streams(),
                    (target, value) ->
                            HeartbeatSize.entry(
                                    target.value(), value.promptTokens(), value.streams()));
    private long sequence;
    private int nextLeavingTarget;

    HeartbeatComposer(HeartbeatSource source) {
        this.source = source;
    }

    /**
     * Makes the next heartbeat.
     *
     * @param confirmedAt last time at which any daemon is known to have confirmed the log's end
     * @param bytes bound of its size
     */
    Heartbeat compose(
            RosterIndex roster,
            Function<DaemonId, PeerState> peers,
            Instant confirmedAt,
            Instant now,
            int bytes) {
        sequence++;
        int budget = bytes - HeartbeatSize.FIXED;
        List<TargetId> leaving = leavingTargets(budget / LEAVING_DIVISOR);
        for (TargetId target : leaving) {
            budget -= HeartbeatSize.text(target.value());
        }
        DigestComposer.Sized digest = digests.compose(roster, peers, confirmedAt, now, budget);
        budget -= digest.bytes();
        ShareComposer.Share<TargetId, Outstanding> work =
                outstanding.compose(source.outstanding(), budget / 2);
        budget -= work.bytes();
        ShareComposer.Share<OrganisationId, Integer> asked =
                demand.compose(source.demand(), budget);
        return new Heartbeat(
                source.status(),
                sequence,
                Duration.ZERO,
                source.appliedOffset(),
                bounded(source.confirmedAge()),
                asked.entries(),
                leaving,
                work.entries(),
                asked.complete() && work.complete(),
                digest.digest());
    }

    /** Returns targets that fit; the others follow in later heartbeats. */
    private List<TargetId> leavingTargets(int budget) {
        List<TargetId> all = source.leavingTargets();
        List<TargetId> chosen = new ArrayList<>();
        int bytes = 0;
        while (chosen.size() < all.size()) {
            TargetId target = all.get((nextLeavingTarget + chosen.size()) % all.size());
            bytes += HeartbeatSize.text(target.value());
            if (bytes > budget) {
                break;
            }
            chosen.add(target);
        }
        boolean whole = chosen.size() == all.size();
        nextLeavingTarget = whole ? 0 : (nextLeavingTarget + chosen.size()) % all.size();
        return chosen;
    }

    /** Returns the age, or the largest one that can be sent if it is larger. */
    static Duration bounded(Duration age) {
        return age.compareTo(RosterDigest.NEVER_CONFIRMED) > 0 ? RosterDigest.NEVER_CONFIRMED : age;
    }
}
