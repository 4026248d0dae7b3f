package org.bergamothoist.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class FallbackObserverTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Histogram milliseconds = new MetricRegistry().histogram("milliseconds");
    private final FallbackObserver observer =
            new FallbackObserver(
                    new NoObserver(), milliseconds, time, (kind, subject, inputs, outcome) -> {});

    private record NoObserver() implements FeedFollower.Observer {

        @Override
        public void onListing(Feed feed, FeedSource.Listing listing, Instant completeUntil) {}

        @Override
        public void onPage(Feed feed, FeedSource.Page page, Instant completeUntil) {}

        @Override
        public void onUnavailable(Feed feed, Throwable cause) {}

        @Override
        public void onAvailable(Feed feed) {}
    }

    private void list(Feed feed) {
        observer.onListing(
                feed, new FeedSource.Listing(List.of(), new LogPosition(2, 0)), time.instant());
    }

    /** Guards against a fallback that takes minutes because a feed was not read meanwhile. */
    @Test
    void feedsWhoseReadsAreSuspendedAreNotMeasured() {
        observer.onSuspended(Feed.OPERATOR);
        observer.onStoreFallback();
        observer.onSuspended(Feed.TARGETS);
        time.advanceMillis(30);
        list(Feed.DAEMONS);
        time.advance(Duration.ofMinutes(5));
        list(Feed.OPERATOR);
        list(Feed.TARGETS);
        assertThat(milliseconds.getSnapshot().getValues()).containsExactly(30);
        observer.onStoreFallback();
        list(Feed.OPERATOR);
        assertThat(milliseconds.getCount()).isEqualTo(2);
    }
}
