package org.bergamothoist.core.feed;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Follows one feed for good: lists it, reads on from there, and lists again when records have
 * expired. Confined to the control thread.
 */
public final class FeedFollower {

    /** Pause after a failed call; half of it is random, so that daemons do not call at once. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(400);

    private final Feed feed;
    private final FeedSource source;
    private final Pace pace;
    private final Scheduler scheduler;
    private final DoubleSupplier random;
    private final Observer observer;
    private long next = -1;
    private boolean reachable;
    private boolean lostReported;

    /**
     * How often a feed is read.
     *
     * @param pause time between an answer and the next call
     * @param longestWait longest time that a call waits for a record
     */
    public record Pace(Duration pause, Duration longestWait) {}

    /** Receives what was read, and whether the source answers. */
    public interface Observer {

        /** Takes a complete listing. */
        void onListing(Feed feed, FeedSource.Listing listing);

        /** Takes records. */
        void onPage(Feed feed, FeedSource.Page page);

        /** Notes a failed call after a successful one, or the first one. */
        void onLost(Feed feed, Throwable cause);

        /** Notes a successful call after a failed one, or the first one. */
        void onRegained(Feed feed);
    }

    /**
     * Creates a follower that does not call yet.
     *
     * @param random draws numbers from 0 to 1
     */
    public FeedFollower(
            Feed feed,
            FeedSource source,
            Pace pace,
            Scheduler scheduler,
            DoubleSupplier random,
            Observer observer) {
        this.feed = feed;
        this.source = source;
        this.pace = pace;
        this.scheduler = scheduler;
        this.random = random;
        this.observer = observer;
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    /** Returns whether the last call was answered. */
    public boolean isReachable() {
        return reachable;
    }

    private void list() {
        source.list(feed)
                .whenComplete(
                        (listing, failure) -> {
                            if (failure != null) {
                                retry(failure, this::list);
                                return;
                            }
                            answered();
                            next = listing.end();
                            observer.onListing(feed, listing);
                            scheduler.schedule(pace.pause(), this::read);
                        });
    }

    private void read() {
        source.read(feed, next, pace.longestWait())
                .whenComplete(
                        (page, failure) -> {
                            if (rootOf(failure) instanceof ExpiredOffsetException) {
                                list();
                                return;
                            }
                            if (failure != null) {
                                retry(failure, this::read);
                                return;
                            }
                            answered();
                            next = page.next();
                            observer.onPage(feed, page);
                            scheduler.schedule(pace.pause(), this::read);
                        });
    }

    private static Throwable rootOf(Throwable failure) {
        boolean wrapped = failure != null && failure.getCause() != null;
        return wrapped && failure instanceof CompletionException ? failure.getCause() : failure;
    }

    private void answered() {
        boolean first = !reachable;
        reachable = true;
        lostReported = false;
        if (first) {
            observer.onRegained(feed);
        }
    }

    private void retry(Throwable failure, Runnable call) {
        reachable = false;
        if (!lostReported) {
            lostReported = true;
            observer.onLost(feed, failure);
        }
        Duration half = RETRY_PAUSE.dividedBy(2);
        scheduler.schedule(Jitter.delay(half, half, random), call);
    }
}
