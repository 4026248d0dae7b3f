package org.bergamothoist.gateway;

import com.codahale.metrics.Histogram;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;

/**
 * Measures the time from a fallback of the store until each feed has been listed again, and passes
 * everything on to another observer. Confined to the event loop.
 */
final class FallbackObserver implements FeedFollower.Observer {

    private final FeedFollower.Observer observer;
    private final Histogram milliseconds;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<Feed, Instant> fallenBackAt = new EnumMap<>(Feed.class);
    private final EnumSet<Feed> suspended = EnumSet.noneOf(Feed.class);

    FallbackObserver(
            FeedFollower.Observer observer,
            Histogram milliseconds,
            InstantSource clock,
            DecisionLog log) {
        this.observer = observer;
        this.milliseconds = milliseconds;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Begins to wait for the feeds that are read; to be called before they are listed again. Others
     * are listed when their reads are resumed, which says nothing of the store.
     */
    void onStoreFallback() {
        for (Feed feed : EnumSet.complementOf(suspended)) {
            fallenBackAt.put(feed, clock.instant());
        }
    }

    @Override
    public void onListing(Feed feed, FeedSource.Listing listing, Instant completeUntil) {
        observer.onListing(feed, listing, completeUntil);
        suspended.remove(feed);
        Instant since = fallenBackAt.remove(feed);
        if (since == null) {
            return;
        }
        long taken = Duration.between(since, clock.instant()).toMillis();
        milliseconds.update(taken);
        LogPosition end = listing.end();
        log.write(
                DecisionKind.DEPENDENCY_REGAINED,
                "store",
                () ->
                        feed
                                + " era="
                                + end.era()
                                + " end="
                                + end.offset()
                                + " milliseconds="
                                + taken,
                "listed after the fallback");
    }

    @Override
    public void onPage(Feed feed, FeedSource.Page page, Instant completeUntil) {
        observer.onPage(feed, page, completeUntil);
    }

    @Override
    public void onUnavailable(Feed feed, Throwable cause) {
        observer.onUnavailable(feed, cause);
    }

    @Override
    public void onSuspended(Feed feed) {
        suspended.add(feed);
        fallenBackAt.remove(feed);
        observer.onSuspended(feed);
    }

    @Override
    public void onAvailable(Feed feed) {
        observer.onAvailable(feed);
    }
}
