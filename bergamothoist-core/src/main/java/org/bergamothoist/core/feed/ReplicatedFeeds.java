package org.bergamothoist.core.feed;

import java.util.Optional;

/**
 * The replica of the feeds and the ages of what it contains. Confined to the control thread.
 *
 * @param operators bounds the age of operators' records
 * @param targets bounds the age of registrations of targets
 */
public record ReplicatedFeeds(FeedMirror mirror, FeedFreshness operators, FeedFreshness targets) {

    /** Returns the freshness of a feed, or empty if nothing depends on it. */
    public Optional<FeedFreshness> freshness(Feed feed) {
        return switch (feed) {
            case OPERATOR -> Optional.of(operators);
            case TARGETS -> Optional.of(targets);
            case DAEMONS -> Optional.empty();
        };
    }
}
