package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.client.AnswerMatch;

/** Polls one engine or KV cache store for cache events. Confined to the event loop. */
public final class CacheEventPoller {

    /** Maximum wait of a long poll; the platform allows no longer one. */
    private static final Duration LONG_POLL_WAIT = Duration.ofMillis(1_000);

    /** Delay between calls, so that events are read in batches. */
    private static final Duration POLL_DELAY = Duration.ofMillis(150);

    /** Delay after the first failed call, or while there is no address to poll. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Delay after many failed calls in a row, each of which doubles it. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(4);

    private final Supplier<Optional<String>> address;
    private final CacheEventClient client;
    private final Scheduler scheduler;
    private final Observer observer;
    private Optional<CacheEventClient.Position> position = Optional.empty();

    /** By connection at first and after a failure, when nothing is known to match a page with. */
    private AnswerMatch match = AnswerMatch.byConnection();

    private Duration retryDelay = RETRY_DELAY;
    private boolean stopped;

    /** Receives the results of the calls. */
    public interface Observer {

        /** Handles a page of events read from the address. */
        void onEvents(String address, CacheEventClient.EventPage page);

        /** Handles a failed call. */
        void onFailure(Throwable cause);
    }

    /**
     * Creates a stopped poller.
     *
     * @param address returns the address to poll, or empty while it is unknown
     */
    public CacheEventPoller(
            Supplier<Optional<String>> address,
            CacheEventClient client,
            Scheduler scheduler,
            Observer observer) {
        this.address = address;
        this.client = client;
        this.scheduler = scheduler;
        this.observer = observer;
    }

    /** Starts to poll. */
    public void start() {
        poll();
    }

    /** Stops polling; results of a pending call are discarded. */
    public void stop() {
        stopped = true;
    }

    private void poll() {
        if (stopped) {
            return;
        }
        Optional<String> current = address.get();
        if (current.isEmpty()) {
            scheduler.schedule(RETRY_DELAY, this::poll);
            return;
        }
        client.read(current.get(), position, match, LONG_POLL_WAIT)
                .whenComplete(
                        (page, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                match = AnswerMatch.byConnection();
                                observer.onFailure(failure);
                                scheduler.schedule(retryDelay, this::poll);
                                retryDelay = doubled(retryDelay);
                                return;
                            }
                            retryDelay = RETRY_DELAY;
                            position = Optional.of(page.end());
                            match = AnswerMatch.byContent();
                            observer.onEvents(current.get(), page);
                            scheduler.schedule(POLL_DELAY, this::poll);
                        });
    }

    private static Duration doubled(Duration delay) {
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(MAXIMUM_RETRY_DELAY) < 0 ? twice : MAXIMUM_RETRY_DELAY;
    }
}
