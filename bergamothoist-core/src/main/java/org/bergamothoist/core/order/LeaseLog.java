package org.bergamothoist.core.order;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;

/** What leases need of the log. */
public interface LeaseLog {

    /** Returns the last lease granted on the resource, in force or not. */
    Optional<LeaseState> lease(String resource);

    /** Returns whether the last read of the log succeeded a short time ago. */
    boolean current();

    /** Appends a record; completes with its offset when the fold has reached it. */
    CompletionStage<Long> append(LogRecord record);
}
