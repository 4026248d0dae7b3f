package org.bergamothoist.core.lease;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** The log of one lease, in the platform's store. */
public interface LeaseTopic {

    /**
     * The newest record of the log.
     *
     * @param end offset that the next record gets
     */
    record Tail(Optional<Holding> newest, long end) {}

    /**
     * A record: the holder and the fencing number under which it holds.
     *
     * @param holder name of a daemon
     * @param fencingNumber grows from holder to holder
     */
    record Holding(String holder, long fencingNumber) {}

    /** Reads the newest record; fails if the store cannot be reached. */
    CompletionStage<Tail> read();

    /**
     * Appends a record if the log ends at the offset.
     *
     * @return the new end, or empty if the log ends elsewhere; a failure leaves open whether the
     *     record was or will be appended
     */
    CompletionStage<OptionalLong> append(Holding holding, long end);
}
