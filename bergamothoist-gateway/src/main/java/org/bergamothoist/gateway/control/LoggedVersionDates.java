package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.lease.LeaseTopic.RequestedVersion;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.rollout.DesiredWeightVersions;

/**
 * Writes the times at which weight versions were requested with the order lease, and takes those
 * that are only assumed from there. Confined to the event loop.
 */
public final class LoggedVersionDates implements OrderLease.VersionDates {

    private final DesiredWeightVersions versions;
    private final InstantSource clock;
    private final DecisionLog log;

    /** Creates an exchange of dates with the log of the lease. */
    public LoggedVersionDates(
            DesiredWeightVersions versions, InstantSource clock, DecisionLog log) {
        this.versions = versions;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public List<RequestedVersion> known() {
        return versions.knownDates().stream()
                .map(
                        date ->
                                new RequestedVersion(
                                        date.model(), date.version(), date.requestedSince()))
                .toList();
    }

    @Override
    public void onRead(List<RequestedVersion> read) {
        read.forEach(this::refine);
    }

    private void refine(RequestedVersion read) {
        if (!versions.refineByOtherClock(read.model(), read.version(), read.requestedSince())) {
            return;
        }
        log.write(
                DecisionKind.WEIGHTS_NAMED,
                read.model(),
                () ->
                        "age-at-most="
                                + versions.outdatedSince(read.model(), read.version() - 1)
                                        .map(since -> Duration.between(since, clock.instant()))
                                        .map(Duration::toMillis)
                                        .orElse(0L)
                                + " from=order-lease",
                "version " + read.version() + " dated");
    }
}
