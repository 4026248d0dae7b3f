package org.bergamothoist.core.lease;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** The append-only log of one lease, kept in the platform's store. */
public interface LeaseTopic {

    /**
     * The newest record of the log and the offset of its end.
     *
     * @param end offset of the next record to be appended
     * @param era era of the store in which it was read; 0 if the store announces none
     */
    record Tail(Optional<Holding> newest, long end, long era) {

        /** Creates the tail of a log in a store that announces no era. */
        public Tail(Optional<Holding> newest, long end) {
            this(newest, end, 0);
        }
    }

    /**
     * A record of the log: a daemon acquires or renews the lease.
     *
     * @param holder name of the daemon
     * @param fencingNumber fencing number of the holder, which increases with every change of
     *     holder and is higher in each later era of the store
     * @param versions weight versions that the holder rolls out and those before them
     */
    record Holding(String holder, long fencingNumber, List<RequestedVersion> versions) {

        public Holding {
            versions = List.copyOf(versions);
        }
    }

    /**
     * A requested version of a model's weights.
     *
     * @param requestedSince earliest time of the request by the clock of the daemon that wrote it
     */
    record RequestedVersion(String model, int version, Instant requestedSince) {}

    /** Reads the newest record; completes exceptionally if the store cannot be reached. */
    CompletionStage<Tail> read();

    /**
     * Appends a record if the log still ends at the given offset (compare-and-append).
     *
     * @return the new end, or empty if the log has another end; if it completes exceptionally, the
     *     record may or may not have been appended, or may be appended later. It completes
     *     exceptionally too if the store has fallen back since the call was sent, since the log may
     *     have had that end again by chance.
     */
    CompletionStage<OptionalLong> append(Holding holding, long end);
}
