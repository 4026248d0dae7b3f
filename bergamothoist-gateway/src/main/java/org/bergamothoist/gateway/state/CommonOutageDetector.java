package org.bergamothoist.gateway.state;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.PauseDetector;

/**
 * Detects outages of the store that all daemons share. Operators then publish nothing that this
 * daemon misses, so that versions read after a long outage need not be dated by its beginning.
 * Confined to the event loop.
 */
public final class CommonOutageDetector {

    private final DaemonDirectory daemons;
    private final FeedFreshness operatorFreshness;
    private final PauseDetector pauses;
    private final BooleanSupplier storeReachable;
    private final InstantSource clock;

    /**
     * Creates a detector.
     *
     * @param storeReachable returns whether this daemon reads the operators' feed
     */
    public CommonOutageDetector(
            DaemonDirectory daemons,
            FeedFreshness operatorFreshness,
            PauseDetector pauses,
            BooleanSupplier storeReachable,
            InstantSource clock) {
        this.daemons = daemons;
        this.operatorFreshness = operatorFreshness;
        this.pauses = pauses;
        this.storeReachable = storeReachable;
        this.clock = clock;
    }

    /**
     * Extends the time up to which all records are known if the store is down for all daemons, up
     * to the time of the oldest report that shows it.
     */
    public void update() {
        if (isStoreDownForAll()) {
            operatorFreshness.recordNothingPublished(
                    clock.instant().minus(DaemonDirectory.LIVENESS_TIMEOUT));
        }
    }

    private boolean isStoreDownForAll() {
        Optional<Instant> completeUntil = operatorFreshness.completeUntil();
        if (storeReachable.getAsBoolean() || completeUntil.isEmpty()) {
            return false;
        }
        List<DaemonReport> others = daemons.aliveReports();
        return !others.isEmpty()
                && others.stream().noneMatch(DaemonReport::storeReachable)
                && !mayBeReadByUnseenDaemon(completeUntil.get());
    }

    /**
     * Returns whether a daemon may read the store without this one seeing it: one that fell silent
     * after the last read may be cut off from this daemon only, and reports that were received
     * before a pause of this process may be outdated.
     */
    private boolean mayBeReadByUnseenDaemon(Instant lastRead) {
        return daemons.hasFallenSilentSince(lastRead)
                || pauses.hasPausedSince(clock.instant().minus(DaemonDirectory.LIVENESS_TIMEOUT));
    }
}
