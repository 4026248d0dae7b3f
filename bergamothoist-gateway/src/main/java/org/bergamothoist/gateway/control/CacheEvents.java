package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.prefix.CachedPartEvent;

/** Reads what engines and stores of KV cache say about their contents. */
public interface CacheEvents {

    /**
     * Events from a number on.
     *
     * @param epoch differs for each run of the holder
     * @param next number from which to go on
     * @param lost whether events before the first one are missing
     */
    record EventPage(long epoch, long next, boolean lost, List<CachedPartEvent> events) {}

    /**
     * Reads events.
     *
     * @param wait longest time to wait for some
     */
    CompletionStage<EventPage> read(String address, long since, Duration wait);
}
