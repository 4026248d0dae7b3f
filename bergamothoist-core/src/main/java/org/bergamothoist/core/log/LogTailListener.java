package org.bergamothoist.core.log;

import org.bergamothoist.core.platform.LogEntry;

/** Receives, on the control thread, the records and snapshots that a {@link LogTail} applies. */
@FunctionalInterface
public interface LogTailListener {

    /** Called after a record was applied to the shared state. */
    void onApplied(LogEntry entry, ApplyResult result);

    /**
     * Called after a checkpoint or a peer's snapshot replaced the whole state. Records that were
     * skipped by the replacement are never reported to {@link #onApplied}.
     *
     * @param appliedOffset offset of the last record that the new state includes
     */
    default void onRestored(long appliedOffset) {}
}
