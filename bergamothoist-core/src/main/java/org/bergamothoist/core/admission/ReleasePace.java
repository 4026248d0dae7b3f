package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.gossip.ReportSchedule;

/**
 * Limits how many waiting requests of a service a daemon sends at a time. A slot that one of its
 * own requests has released is its own to fill; room that others' reports show is seen by all
 * daemons, so that each takes an equal part of it until the next reports.
 */
final class ReleasePace {

    private static final Duration REPORT_INTERVAL = ReportSchedule.ROUND_INTERVAL;

    private int allowance;
    private Instant renewedAt = Instant.EPOCH;

    /**
     * Renews the allowance if reports may have arrived since the last time. At least one request is
     * allowed, so that a daemon without any at the targets gets its part of them.
     *
     * @param freeSlots number of free slots that the daemons know of
     * @param daemons number of daemons that take callers' requests
     */
    void renew(int freeSlots, int daemons, Instant now) {
        if (!now.isBefore(renewedAt.plus(REPORT_INTERVAL))) {
            renewedAt = now;
            int sharers = Math.max(1, daemons);
            allowance = Math.max(1, (freeSlots + sharers - 1) / sharers);
        }
    }

    void onReleased() {
        allowance++;
    }

    boolean allowsSend() {
        return allowance > 0;
    }

    void onSent() {
        allowance--;
    }
}
