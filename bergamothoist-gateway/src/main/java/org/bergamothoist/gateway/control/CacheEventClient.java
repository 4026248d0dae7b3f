package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.prefix.CachedPartEvent;
import org.bergamothoist.gateway.client.AnswerMatch;

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
            long epoch, long nextSequence, boolean eventsLost, List<CachedPartEvent> events) {

        /** Returns the position after which the next page follows. */
        public Position end() {
            return new Position(epoch, nextSequence);
        }
    }

    /**
     * The end of a page, after which the next one follows.
     *
     * @param epoch epoch of the page
     * @param sequence sequence number at which the next page starts
     */
    record Position(long epoch, long sequence) {}

    /**
     * Reads the events after a position; completes exceptionally if the call fails, or if its page
     * is matched by content and does not follow the position, as a copy of an earlier one.
     *
     * @param address address of the engine or store, {@code host:port}
     * @param after end of the last page, or empty to read from the first event on
     * @param match by content on a kept connection, or by a connection of its own, on which each
     *     page is accepted
     * @param wait maximum time that the engine or store waits for an event (long polling)
     */
    CompletionStage<EventPage> read(
            String address, Optional<Position> after, AnswerMatch match, Duration wait);
}
