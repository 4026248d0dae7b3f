package org.bergamothoist.core.sheet;

import java.util.List;
import org.bergamothoist.core.identity.DaemonId;

/**
 * How far a submitted sheet has come.
 *
 * @param lagging daemons that have not confirmed the sheet
 */
public record SheetStatus(SheetVerdict verdict, Reach reach, List<DaemonId> lagging) {

    public SheetStatus {
        lagging = List.copyOf(lagging);
    }

    /** Where the sheet is in force. */
    public enum Reach {
        /** It was refused. */
        REFUSED,
        /** It is recorded; some daemons may still serve under the previous sheet. */
        RECORDED,
        /** Every daemon that serves does so under this sheet or a newer one. */
        IN_FORCE
    }
}
