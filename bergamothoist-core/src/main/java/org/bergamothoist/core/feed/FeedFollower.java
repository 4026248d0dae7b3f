package org.bergamothoist.core.feed;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Follows one feed indefinitely: lists it, polls for newer records, and lists it again when the
 * next records have expired. Confined to the control thread.
 */
public final class FeedFollower {

    /**
     * Maximum pause after a failed call. Up to half of it is random, so that daemons do not call at
     * the same time.
     */
    private static final Duration MAXIMUM_RETRY_PAUSE = Duration.ofMillis(400);

    private final Feed feed;
    private final FeedSource source;
    private final Supplier<PollSettings> poll;
    private final Scheduler scheduler;
    private final DoubleSupplier random;
    private final Observer observer;
    private long nextOffset = -1;
    private boolean reachable;
    private boolean unavailabilityReported;

    /**
     * How a feed is polled.
     *
     * @param pause time between a response and the next call
     * @param maximumWait maximum time that a call waits at the source for a record
     */
    public record PollSettings(Duration pause, Duration maximumWait) {}

    /** Receives records and changes of the source's availability. */
    public interface Observer {

        /** Handles a complete listing of the feed. */
        void onListing(Feed feed, FeedSource.Listing listing);

        /** Handles records that follow the last listing or page. */
        void onPage(Feed feed, FeedSource.Page page);

        /** Handles a failed call that follows a successful one or is the first call. */
        void onUnavailable(Feed feed, Throwable cause);

        /**
         * Handles a successful call that follows a failed one or is the first call. Precedes the
         * call's listing or page.
         */
        void onAvailable(Feed feed);
    }

    /**
     * Creates a follower, which is inactive until {@link #start}.
     *
     * @param poll returns how the feed is polled, which may change from call to call
     * @param random supplies random numbers from 0 to 1
     */
    public FeedFollower(
            Feed feed,
            FeedSource source,
            Supplier<PollSettings> poll,
            Scheduler scheduler,
            DoubleSupplier random,
            Observer observer) {
        this.feed = feed;
        this.source = source;
        this.poll = poll;
        this.scheduler = scheduler;
        this.random = random;
        this.observer = observer;
    }

    /** Starts following the feed. */
    public void start() {
        list();
    }

    /** Returns whether the last call succeeded. */
    public boolean isReachable() {
        return reachable;
    }

    private void list() {
        source.list(feed)
                .whenComplete(
                        (listing, failure) -> {
                            if (failure != null) {
                                retryLater(failure, this::list);
                                return;
                            }
                            onSuccess();
                            nextOffset = listing.end();
                            observer.onListing(feed, listing);
                            scheduler.schedule(poll.get().pause(), this::read);
                        });
    }

    private void read() {
        source.read(feed, nextOffset, poll.get().maximumWait())
                .whenComplete(
                        (page, failure) -> {
                            if (unwrap(failure) instanceof ExpiredOffsetException) {
                                list();
                                return;
                            }
                            if (failure != null) {
                                retryLater(failure, this::read);
                                return;
                            }
                            onSuccess();
                            nextOffset = page.next();
                            observer.onPage(feed, page);
                            scheduler.schedule(poll.get().pause(), this::read);
                        });
    }

    private static Throwable unwrap(Throwable failure) {
        boolean wrapped = failure != null && failure.getCause() != null;
        return wrapped && failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private void onSuccess() {
        boolean becameReachable = !reachable;
        reachable = true;
        unavailabilityReported = false;
        if (becameReachable) {
            observer.onAvailable(feed);
        }
    }

    private void retryLater(Throwable failure, Runnable call) {
        reachable = false;
        if (!unavailabilityReported) {
            unavailabilityReported = true;
            observer.onUnavailable(feed, failure);
        }
        Duration half = MAXIMUM_RETRY_PAUSE.dividedBy(2);
        scheduler.schedule(Jitter.delay(half, half, random), call);
    }
}
