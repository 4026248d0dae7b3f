package org.bergamothoist.gateway.state;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.PauseDetector;

/**
 * Detects outages of the store that all daemons share. Operators then publish nothing that this
 * daemon misses, so that versions read after a long outage need not be dated by its beginning. A
 * daemon that read the store when it fell silent may read on unseen. Confined to the event loop.
 */
public final class CommonOutageDetector {

    /**
     * Time after a pause of this process in which reports may be received that were sent before.
     */
    private static final Duration BUFFERED_REPORT_PERIOD = Duration.ofSeconds(1);

    private final DaemonDirectory daemons;
    private final FeedFreshness operatorFreshness;
    private final PauseDetector pauses;
    private final BooleanSupplier storeReachable;

    /**
     * Creates a detector.
     *
     * @param storeReachable returns whether this daemon reads the operators' feed
     */
    public CommonOutageDetector(
            DaemonDirectory daemons,
            FeedFreshness operatorFreshness,
            PauseDetector pauses,
            BooleanSupplier storeReachable) {
        this.daemons = daemons;
        this.operatorFreshness = operatorFreshness;
        this.pauses = pauses;
        this.storeReachable = storeReachable;
    }

    /**
     * Extends the time up to which all records are known if the store is down for all daemons, up
     * to the time of the oldest report that shows it.
     */
    public void update() {
        daemons.oldestAliveReportAt()
                .filter(this::isStoreDownForAll)
                .ifPresent(operatorFreshness::extendCompleteUntil);
    }

    private boolean isStoreDownForAll(Instant oldestReportAt) {
        Optional<Instant> lastRead = operatorFreshness.completeUntil();
        return !storeReachable.getAsBoolean()
                && lastRead.isPresent()
                && !pauses.hasPausedSince(oldestReportAt.minus(BUFFERED_REPORT_PERIOD))
                && daemons.aliveReports().stream().noneMatch(DaemonReport::storeReachable)
                && daemons.silentSince(lastRead.get()).stream()
                        .noneMatch(DaemonReport::storeReachable);
    }
}
