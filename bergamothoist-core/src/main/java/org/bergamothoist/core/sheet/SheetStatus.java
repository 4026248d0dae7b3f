package org.bergamothoist.core.sheet;

import java.util.List;
import org.bergamothoist.core.identity.DaemonId;

/**
 * The rollout status of a submitted sheet.
 *
 * @param reach how far the rollout has come
 * @param lagging daemons that are not known to have applied the sheet
 */
public record SheetStatus(SheetVerdict verdict, Reach reach, List<DaemonId> lagging) {

    public SheetStatus {
        lagging = List.copyOf(lagging);
    }

    /** How far the rollout of a sheet has come. */
    public enum Reach {
        /** The sheet was refused. */
        REFUSED,
        /** The sheet was accepted; some daemons may still serve under the previous one. */
        RECORDED,
        /** Every daemon that serves requests applies this sheet or a newer one. */
        IN_FORCE
    }
}
