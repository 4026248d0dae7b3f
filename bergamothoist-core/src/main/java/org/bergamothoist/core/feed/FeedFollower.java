package org.bergamothoist.core.feed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Follows one feed indefinitely: lists it, polls for newer records, and lists it again when the
 * next records have expired. While others bring the records, reads are suspended. Confined to the
 * control thread.
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
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final Observer observer;
    private final BooleanSupplier wanted;
    private long nextOffset = -1;
    private boolean reachable;
    private boolean suspended;
    private boolean lastPageHadRecords;
    private boolean unavailabilityReported;
    private boolean started;

    /** Number of restarts; calls that were made before the last one are ignored. */
    private long restarts;

    /**
     * How a feed is polled.
     *
     * @param pause time between a response and the next call
     * @param maximumWait maximum time that a call waits at the source for a record
     * @param maximumWaitAfterRecords the same for a call after one that brought records. A page
     *     with records is only known to be as new as its call; a call that does not wait tells
     *     sooner up to when all records are known.
     */
    public record PollSettings(
            Duration pause, Duration maximumWait, Duration maximumWaitAfterRecords) {

        /** Creates settings by which each call waits equally long. */
        public PollSettings(Duration pause, Duration maximumWait) {
            this(pause, maximumWait, maximumWait);
        }
    }

    /** Receives records and changes of the source's availability. */
    public interface Observer {

        /**
         * Handles a complete listing of the feed.
         *
         * @param completeUntil time up to which all published records are known now
         */
        void onListing(Feed feed, FeedSource.Listing listing, Instant completeUntil);

        /**
         * Handles records that follow the last listing or page.
         *
         * @param completeUntil time up to which all published records are known now
         */
        void onPage(Feed feed, FeedSource.Page page, Instant completeUntil);

        /** Handles a failed call that follows a successful one or is the first call. */
        void onUnavailable(Feed feed, Throwable cause);

        /**
         * Handles a successful call that follows a failed one or is the first call. Precedes the
         * call's listing or page.
         */
        void onAvailable(Feed feed);

        /** Handles the suspension of reads, which {@link FeedFollower#resume} ends. */
        default void onSuspended(Feed feed) {}
    }

    /**
     * Creates a follower that is never suspended and is inactive until {@link #start}.
     *
     * @param poll returns how the feed is polled, which may change from call to call
     * @param random supplies random numbers from 0 to 1
     */
    public FeedFollower(
            Feed feed,
            FeedSource source,
            Supplier<PollSettings> poll,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            Observer observer) {
        this(feed, source, poll, scheduler, clock, random, observer, () -> true);
    }

    /**
     * Creates a follower, which is inactive until {@link #start}.
     *
     * @param poll returns how the feed is polled, which may change from call to call
     * @param random supplies random numbers from 0 to 1
     * @param wanted returns whether reads go on; they are suspended only after a successful call
     */
    public FeedFollower(
            Feed feed,
            FeedSource source,
            Supplier<PollSettings> poll,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            Observer observer,
            BooleanSupplier wanted) {
        this.feed = feed;
        this.source = source;
        this.poll = poll;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.observer = observer;
        this.wanted = wanted;
    }

    /** Starts following the feed. */
    public void start() {
        started = true;
        list();
    }

    /**
     * Lists the feed again at once, because offsets of the store are given out again. Calls in
     * progress are ignored. If reads are suspended, they begin with a listing anyway.
     */
    public void restart() {
        if (started && !suspended) {
            restarts++;
            list();
        }
    }

    /** Returns whether the last call succeeded. */
    public boolean isReachable() {
        return reachable;
    }

    /** Returns whether reads are suspended. */
    public boolean isSuspended() {
        return suspended;
    }

    /** Reads again at once if reads are suspended; begins with a listing. */
    public void resume() {
        if (suspended) {
            suspended = false;
            list();
        }
    }

    private void readIfWanted() {
        if (wanted.getAsBoolean()) {
            read();
            return;
        }
        suspended = true;
        observer.onSuspended(feed);
    }

    private void list() {
        Instant sentAt = clock.instant();
        long restartsBefore = restarts;
        source.list(feed)
                .whenComplete(
                        (listing, failure) -> {
                            if (restarts != restartsBefore) {
                                return;
                            }
                            if (failure != null) {
                                retryLater(failure, this::list);
                                return;
                            }
                            onSuccess();
                            nextOffset = listing.end().offset();
                            observer.onListing(feed, listing, sentAt);
                            schedule(poll.get().pause(), this::readIfWanted);
                        });
    }

    private void read() {
        Instant sentAt = clock.instant();
        PollSettings settings = poll.get();
        Duration maximumWait =
                lastPageHadRecords ? settings.maximumWaitAfterRecords() : settings.maximumWait();
        long restartsBefore = restarts;
        source.read(feed, nextOffset, maximumWait)
                .whenComplete(
                        (page, failure) -> {
                            if (restarts != restartsBefore) {
                                return;
                            }
                            if (unwrap(failure) instanceof ExpiredOffsetException) {
                                list();
                                return;
                            }
                            if (failure != null) {
                                retryLater(failure, this::read);
                                return;
                            }
                            onSuccess();
                            nextOffset = page.next().offset();
                            lastPageHadRecords = !page.records().isEmpty();
                            observer.onPage(feed, page, completeUntil(page, sentAt, maximumWait));
                            schedule(poll.get().pause(), this::readIfWanted);
                        });
    }

    /**
     * Returns a time before which the source has computed the page. The time at which the response
     * is handled is no such time, since it may have waited while this process stood still. A page
     * without records was computed when the wait had expired.
     */
    private Instant completeUntil(FeedSource.Page page, Instant sentAt, Duration maximumWait) {
        Instant now = clock.instant();
        Instant waitExpired = sentAt.plus(maximumWait);
        if (!page.records().isEmpty()) {
            return sentAt;
        }
        return waitExpired.isBefore(now) ? waitExpired : now;
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
        schedule(Jitter.delay(half, half, random), call);
    }

    /** Schedules a call, which is not made if the feed is restarted before. */
    private void schedule(Duration delay, Runnable call) {
        long restartsBefore = restarts;
        scheduler.schedule(
                delay,
                () -> {
                    if (restarts == restartsBefore) {
                        call.run();
                    }
                });
    }
}
