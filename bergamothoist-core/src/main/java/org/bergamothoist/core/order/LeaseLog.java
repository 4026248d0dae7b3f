package org.bergamothoist.core.order;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;

/** Access to the lease records of the replicated log. */
public interface LeaseLog {

    /** Returns the lease granted last on the resource, whether or not it is still in force. */
    Optional<LeaseState> lease(String resource);

    /** Returns whether the log was read successfully a short time ago. */
    boolean isUpToDate();

    /**
     * Appends a record; completes with its offset once the record is applied to the local state.
     */
    CompletionStage<Long> append(LogRecord record);
}
