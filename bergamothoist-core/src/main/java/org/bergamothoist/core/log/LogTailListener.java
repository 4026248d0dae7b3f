package org.bergamothoist.core.log;

import org.bergamothoist.core.platform.LogEntry;

/** Follows the fold of the log on the control thread. */
@FunctionalInterface
public interface LogTailListener {

    /** Handles a record that has just been folded. */
    void onApplied(LogEntry entry, ApplyResult result);

    /**
     * Handles the replacement of the whole state by a checkpoint or a peer's snapshot. The records
     * up to the new offset that were not folded are never reported by {@link #onApplied}.
     *
     * @param appliedOffset offset that the new state covers
     */
    default void onRestored(long appliedOffset) {}
}
