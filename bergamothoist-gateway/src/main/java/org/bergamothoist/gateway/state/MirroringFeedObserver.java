package org.bergamothoist.gateway.state;

import java.time.Instant;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.fleet.TargetRegistry;

/**
 * Applies what is read of the feeds to the replica, and notes when the store is lost and regained.
 * Confined to the event loop.
 */
public final class MirroringFeedObserver implements FeedFollower.Observer {

    private final FeedMirror mirror;
    private final TargetRegistry targets;
    private final FeedFreshness operatorFreshness;
    private final DecisionLog log;

    /**
     * Creates an observer of all feeds.
     *
     * @param operatorFreshness told of reads of the operators' feed
     */
    public MirroringFeedObserver(
            FeedMirror mirror,
            TargetRegistry targets,
            FeedFreshness operatorFreshness,
            DecisionLog log) {
        this.mirror = mirror;
        this.targets = targets;
        this.operatorFreshness = operatorFreshness;
        this.log = log;
    }

    @Override
    public void onListing(Feed feed, FeedSource.Listing listing, Instant completeUntil) {
        mirror.apply(feed, listing);
        recordComplete(feed, completeUntil);
    }

    @Override
    public void onPage(Feed feed, FeedSource.Page page, Instant completeUntil) {
        mirror.apply(feed, page.records());
        recordComplete(feed, completeUntil);
    }

    private void recordComplete(Feed feed, Instant completeUntil) {
        if (feed == Feed.OPERATOR) {
            operatorFreshness.recordComplete(completeUntil);
        }
    }

    @Override
    public void onUnavailable(Feed feed, Throwable cause) {
        if (feed == Feed.OPERATOR) {
            operatorFreshness.recordFailure();
        }
        if (feed == Feed.TARGETS) {
            targets.onStoreUnavailable();
        }
        log.write(DecisionKind.DEPENDENCY_LOST, "store", () -> feed + ": " + cause, "not read");
    }

    @Override
    public void onAvailable(Feed feed) {
        if (feed == Feed.TARGETS) {
            targets.onStoreAvailable();
        }
        log.write(DecisionKind.DEPENDENCY_REGAINED, "store", () -> "" + feed, "read");
    }
}
