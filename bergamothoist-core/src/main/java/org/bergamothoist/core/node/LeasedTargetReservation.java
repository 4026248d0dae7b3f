package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.dispatch.TargetReservation;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.order.LeaseLog;

/**
 * Reserves targets, by leases in the log, for suspect requests: those whose content may have
 * crashed a target. While the log is unavailable, suspect requests are sent without a reservation;
 * otherwise their callers would wait for the whole outage. Confined to the control thread.
 */
final class LeasedTargetReservation implements TargetReservation {

    /** Exceeds the usual run time of a suspect request; bounds the reservation of a dead daemon. */
    private static final Duration LEASE_DURATION = Duration.ofSeconds(15);

    private static final String RESOURCE_PREFIX = "suspects/";

    private final DaemonId self;
    private final LeaseLog log;
    private final InstantSource clock;

    LeasedTargetReservation(DaemonId self, LeaseLog log, InstantSource clock) {
        this.self = self;
        this.log = log;
        this.clock = clock;
    }

    private static String resource(TargetId target) {
        return RESOURCE_PREFIX + target;
    }

    @Override
    public boolean isReservedByOtherDaemon(TargetId target) {
        return log.lease(resource(target))
                .filter(lease -> !lease.holder().equals(self))
                .filter(lease -> lease.expiresAt().isAfter(clock.instant()))
                .isPresent();
    }

    @Override
    public CompletionStage<Boolean> reserve(TargetId target) {
        if (!log.isUpToDate()) {
            return CompletableFuture.completedFuture(true);
        }
        return log.append(new LogRecord.LeaseRequest(resource(target), self, LEASE_DURATION))
                .handle((offset, failure) -> failure != null || ownLease(target).isPresent());
    }

    private Optional<LeaseState> ownLease(TargetId target) {
        return log.lease(resource(target)).filter(lease -> lease.holder().equals(self));
    }

    @Override
    public void release(TargetId target) {
        ownLease(target)
                .ifPresent(
                        lease ->
                                log.append(
                                        new LogRecord.LeaseRelease(
                                                resource(target), self, lease.fencingNumber())));
    }
}
