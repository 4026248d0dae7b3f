package org.bergamothoist.gateway.state;

import java.time.Instant;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.fleet.TargetRegistry;

/**
 * Applies what is read of the feeds to the replica, and notes when the store is lost and regained.
 * Confined to the event loop.
 */
public final class MirroringFeedObserver implements FeedFollower.Observer {

    private final ReplicatedFeeds feeds;
    private final TargetRegistry targets;
    private final Consumer<Feed> onListed;
    private final DecisionLog log;

    /**
     * Creates an observer of all feeds.
     *
     * @param onListed called after a listing was applied
     */
    public MirroringFeedObserver(
            ReplicatedFeeds feeds,
            TargetRegistry targets,
            Consumer<Feed> onListed,
            DecisionLog log) {
        this.feeds = feeds;
        this.targets = targets;
        this.onListed = onListed;
        this.log = log;
    }

    @Override
    public void onListing(Feed feed, FeedSource.Listing listing, Instant completeUntil) {
        feeds.mirror().apply(feed, listing);
        recordComplete(feed, listing.end().era(), completeUntil);
        onListed.accept(feed);
    }

    @Override
    public void onPage(Feed feed, FeedSource.Page page, Instant completeUntil) {
        feeds.mirror().apply(feed, page);
        recordComplete(feed, page.next().era(), completeUntil);
    }

    /** A read of an era that others have seen end does not make the replica complete. */
    private void recordComplete(Feed feed, long era, Instant completeUntil) {
        if (feeds.mirror().isEarlierEra(feed, era)) {
            return;
        }
        feeds.freshness(feed).ifPresent(freshness -> freshness.recordComplete(completeUntil));
    }

    @Override
    public void onUnavailable(Feed feed, Throwable cause) {
        feeds.freshness(feed).ifPresent(FeedFreshness::recordFailure);
        if (feed == Feed.TARGETS) {
            targets.onStoreUnavailable();
        }
        log.write(DecisionKind.DEPENDENCY_LOST, "store", () -> feed + ": " + cause, "not read");
    }

    /** Relayed records are dated by the last complete knowledge, as those after a failure are. */
    @Override
    public void onSuspended(Feed feed) {
        feeds.freshness(feed).ifPresent(FeedFreshness::recordFailure);
    }

    @Override
    public void onAvailable(Feed feed) {
        if (feed == Feed.TARGETS) {
            targets.onStoreAvailable();
        }
        log.write(DecisionKind.DEPENDENCY_REGAINED, "store", () -> "" + feed, "read");
    }
}
