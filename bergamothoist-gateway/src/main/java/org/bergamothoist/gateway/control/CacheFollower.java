package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamothoist.core.time.Scheduler;

/** Follows the events of one holder of KV cache. Confined to the event loop. */
public final class CacheFollower {

    /** Longest wait of a call: the platform's bound. */
    private static final Duration WAIT = Duration.ofMillis(1_000);

    /** Pause between calls, so that events are read in batches. */
    private static final Duration PAUSE = Duration.ofMillis(150);

    /** Pause after a failure. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    private final Supplier<Optional<String>> address;
    private final CacheEvents events;
    private final Scheduler scheduler;
    private final Observer observer;
    private long next;
    private boolean stopped;

    /** Receives what was read. */
    public interface Observer {

        /** Takes events of the holder at an address. */
        void onEvents(String address, CacheEvents.EventPage page);

        /** Notes a failed call. */
        void onFailure(Throwable cause);
    }

    /**
     * Creates a follower that does not call yet.
     *
     * @param address where the holder is, or empty while it is not known
     */
    public CacheFollower(
            Supplier<Optional<String>> address,
            CacheEvents events,
            Scheduler scheduler,
            Observer observer) {
        this.address = address;
        this.events = events;
        this.scheduler = scheduler;
        this.observer = observer;
    }

    /** Starts to follow. */
    public void start() {
        read();
    }

    /** Stops to follow. */
    public void stop() {
        stopped = true;
    }

    private void read() {
        if (stopped) {
            return;
        }
        Optional<String> current = address.get();
        if (current.isEmpty()) {
            scheduler.schedule(RETRY_PAUSE, this::read);
            return;
        }
        events.read(current.get(), next, WAIT)
                .whenComplete(
                        (page, failure) -> {
                            if (stopped) {
                                return;
                            }
                            if (failure != null) {
                                observer.onFailure(failure);
                                scheduler.schedule(RETRY_PAUSE, this::read);
                                return;
                            }
                            next = page.next();
                            observer.onEvents(current.get(), page);
                            scheduler.schedule(PAUSE, this::read);
                        });
    }
}
