package org.bergamothoist.gateway.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MirroringFeedObserverTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final FeedFreshness freshness =
            new FeedFreshness(
                    Duration.ofDays(1),
                    new PauseDetector(Duration.ofDays(1), time, pause -> {}),
                    time);
    private final FeedMirror mirror = new FeedMirror((feed, record) -> {});
    private final List<Feed> listed = new ArrayList<>();
    private final MirroringFeedObserver observer =
            new MirroringFeedObserver(
                    new ReplicatedFeeds(mirror, freshness, freshness),
                    new TargetRegistry(time),
                    listed::add,
                    (kind, subject, inputs, outcome) -> {});

    /**
     * Guards against a daemon that counts its records as new by reads of an era that others have
     * seen end, although it ignores what these reads bring.
     */
    @ParameterizedTest
    @CsvSource({"1,true,false", "1,false,false", "2,true,true", "2,false,true", "3,true,true"})
    void readsOfAnEarlierEraMakeNothingComplete(long era, boolean listing, boolean complete) {
        mirror.applyRelayed(Feed.OPERATOR, List.of(), Optional.of(new LogPosition(2, 5)));
        LogPosition end = new LogPosition(era, 9);
        if (listing) {
            observer.onListing(
                    Feed.OPERATOR, new FeedSource.Listing(List.of(), end), time.instant());
            assertThat(listed).containsExactly(Feed.OPERATOR);
        } else {
            observer.onPage(Feed.OPERATOR, new FeedSource.Page(List.of(), end), time.instant());
        }
        assertThat(freshness.completeUntil().isPresent()).isEqualTo(complete);
    }
}
