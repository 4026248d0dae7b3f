package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.prefix.CachedPartEvent;

/** Reads the events by which engines and KV cache stores report changes of their contents. */
public interface CacheEventClient {

    /**
     * A page of consecutive events.
     *
     * @param epoch identifies the run of the engine or store; differs after each restart
     * @param nextSequence sequence number at which the next page starts
     * @param eventsLost whether events between the requested number and the first one of the page
     *     are no longer available
     */
    record EventPage(
            long epoch, long nextSequence, boolean eventsLost, List<CachedPartEvent> events) {}

    /**
     * Reads the events from a sequence number on; completes exceptionally if the call fails.
     *
     * @param address address of the engine or store, {@code host:port}
     * @param since sequence number from which to read on
     * @param wait maximum time that the engine or store waits for an event (long polling)
     */
    CompletionStage<EventPage> read(String address, long since, Duration wait);
}
