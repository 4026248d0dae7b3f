package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.util.List;

/** What a daemon tells others of the losses of one content or part. */
public record SuspectReport(Fingerprint key, List<ReportedLoss> losses) {

    public SuspectReport {
        losses = List.copyOf(losses);
    }

    /**
     * A loss of a target that ran the content.
     *
     * @param runTime time from the sending of the request to the loss
     * @param age time since it was observed
     * @param cleared whether the content has been completed since then
     */
    public record ReportedLoss(
            TargetLoss target, Duration runTime, Duration age, boolean cleared) {}
}
