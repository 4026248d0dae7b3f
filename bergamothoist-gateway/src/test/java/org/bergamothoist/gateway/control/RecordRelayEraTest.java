package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.state.ClusterView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests relayed records of daemons that are in different eras of the store. */
class RecordRelayEraTest {

    private static final String MODEL = "m";
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Daemon source = new Daemon("daemon-1");
    private final Daemon asking = new Daemon("daemon-2");

    /** A daemon's relay; the source answers the requests. Records state a number. */
    private final class Daemon implements FeedMirror.FeedListener {

        private final ClusterView clusterView;
        private final FeedMirror mirror = new FeedMirror(this);
        private final ReplicatedFeeds feeds;
        private final RecordRelay relay;
        private boolean readsSuspended;

        private Daemon(String name) {
            clusterView = ClusterView.empty(new DaemonId(name, 1), time, Duration.ofSeconds(1));
            PauseDetector pauses = new PauseDetector(Duration.ofDays(1), time, pause -> {});
            feeds =
                    new ReplicatedFeeds(
                            mirror,
                            new FeedFreshness(Duration.ofDays(1), pauses, time),
                            new FeedFreshness(Duration.ofDays(1), pauses, time));
            relay =
                    new RecordRelay(
                            feeds,
                            clusterView,
                            call ->
                                    CompletableFuture.completedFuture(
                                            new HttpAnswer(
                                                    200,
                                                    EmptyHttpHeaders.INSTANCE,
                                                    source.relay
                                                            .handleRequest(call.body())
                                                            .body())),
                            () -> false,
                            () -> true,
                            () -> readsSuspended,
                            time,
                            time,
                            () -> 0.5,
                            (kind, subject, inputs, outcome) -> {});
        }

        @Override
        public void onRecord(Feed feed, FeedRecord record) {
            if (feed == Feed.TARGETS && record.value().isEmpty()) {
                clusterView.targets().remove(record.key());
            }
        }

        @Override
        public boolean isEarlierState(Feed feed, FeedRecord record, FeedRecord other) {
            return record.value().isPresent() && state(record) < state(other);
        }

        private static int state(FeedRecord record) {
            return record.value().map(value -> (int) value[0]).orElse(-1);
        }

        /** Reads a listing of the store in an era, in which each feed ends at the same offset. */
        private void list(long era, long end, int state) {
            byte[] value = {(byte) state};
            FeedRecord record =
                    new FeedRecord("k", new LogPosition(era, end - 1), Optional.of(value));
            for (Feed feed : List.of(Feed.OPERATOR, Feed.TARGETS)) {
                mirror.apply(
                        feed, new FeedSource.Listing(List.of(record), new LogPosition(era, end)));
                feeds.freshness(feed).orElseThrow().recordComplete(time.instant());
            }
        }

        private int state() {
            return mirror.recordsAfter(Feed.OPERATOR, new LogPosition(0, Long.MIN_VALUE)).stream()
                    .mapToInt(Daemon::state)
                    .findFirst()
                    .orElse(-2);
        }

        private Map<Feed, Instant> request() {
            return relay.request("daemon-1", "", TIMEOUT).toCompletableFuture().join();
        }

        private boolean requestAll() {
            return relay.requestAll("daemon-1", "").toCompletableFuture().join();
        }
    }

    /**
     * Guards against a daemon that takes the copy's state for the newest one although others know a
     * later one, whether they have seen the new era or not.
     */
    @ParameterizedTest
    @CsvSource({"false,false", "true,false", "true,true"})
    void completeAnswerHasWhatTheCopyLacks(boolean sourceRestarted, boolean sourceListed) {
        source.list(1, 50, 9);
        if (sourceRestarted) {
            source.mirror.restart(Feed.OPERATOR, 2);
        }
        if (sourceListed) {
            source.list(2, 4, 3);
        }
        asking.list(2, 4, 3);
        asking.request();
        assertThat(asking.state()).isEqualTo(3);
        assertThat(asking.requestAll()).isTrue();
        assertThat(asking.state()).isEqualTo(9);
    }

    @Test
    void daemonWithoutRecordsSaysSo() {
        asking.list(2, 4, 3);
        assertThat(asking.requestAll()).isFalse();
        assertThat(asking.mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(2, 3));
    }

    /** Guards against registrations that are asked for only because of a newer configuration. */
    @Test
    void requestForOperatorsRecordsLeavesOutKnownRegistrations() {
        source.list(2, 4, 3);
        asking.list(2, 4, 3);
        asking.mirror.applyRelayed(Feed.TARGETS, List.of(), Optional.of(new LogPosition(2, 9)));
        asking.relay.requestOperators("daemon-1", "");
        assertThat(asking.mirror.position(Feed.TARGETS)).isEqualTo(new LogPosition(2, 9));
        assertThat(asking.state()).isEqualTo(3);
    }

    /**
     * Guards against records that count as new, and versions that count as dated, because a daemon
     * says so that has not seen the store fall back.
     */
    @ParameterizedTest
    @CsvSource({"1,false", "2,true", "3,true"})
    void agesAndDatesOfAnEarlierEraAreNotBelieved(long sourceEra, boolean believed) {
        asking.list(2, 4, 3);
        time.advanceMillis(5_000);
        source.list(sourceEra, 50, 3);
        source.clusterView
                .desiredWeightVersions()
                .add(MODEL, 2, Optional.of(time.instant().minusMillis(10)));
        asking.clusterView.desiredWeightVersions().add(MODEL, 2, Optional.empty());
        Instant assumed = asking.clusterView.desiredWeightVersions().outdatedSince(MODEL, 1).get();
        Map<Feed, Instant> completeUntil = asking.request();
        assertThat(completeUntil).hasSize(believed ? 2 : 0);
        assertThat(asking.feeds.operators().completeUntil().get().equals(time.instant()))
                .isEqualTo(believed);
        assertThat(
                        asking.clusterView
                                .desiredWeightVersions()
                                .outdatedSince(MODEL, 1)
                                .get()
                                .equals(assumed))
                .isEqualTo(!believed);
    }

    private void knowTarget(Daemon daemon) {
        daemon.clusterView
                .targets()
                .register(
                        new RegisteredTarget(
                                new TargetIncarnation("k", Instant.EPOCH),
                                "service",
                                "10.0.0.1:80",
                                "a",
                                6,
                                false,
                                Map.of()),
                        1);
    }

    /**
     * Guards against targets that are removed at once because a daemon learns of the fallback by
     * the records of another one, in which registrations are missing that were lost.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void targetsThatAnotherEraLacksHaveTheGracePeriod(boolean suspended) {
        time.advanceMillis(60_000);
        asking.readsSuspended = suspended;
        source.list(1, 50, 9);
        asking.list(1, 50, 9);
        knowTarget(asking);
        source.clusterView.targets().onStoreFallback();
        source.mirror.restart(Feed.TARGETS, 2);
        source.mirror.apply(Feed.TARGETS, new FeedSource.Listing(List.of(), new LogPosition(2, 4)));
        asking.request();
        assertThat(asking.clusterView.targets().accepting("service")).hasSize(1);
        time.advanceMillis(2_100);
        asking.request();
        time.advanceMillis(2_100);
        assertThat(asking.clusterView.targets().removeLapsed()).hasSize(1);
    }

    /**
     * Guards against a daemon that does not read the store and stays with an earlier era, goes back
     * to one, or passes over records at low offsets of a new one.
     */
    @Test
    void daemonThatDoesNotReadFollowsItsReadersOverFallbacks() {
        asking.readsSuspended = true;
        source.list(1, 50, 4);
        asking.request();
        assertThat(asking.state()).isEqualTo(4);
        source.list(2, 4, 3);
        asking.request();
        assertThat(asking.state()).isEqualTo(4);
        assertThat(asking.mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(2, 3));
        source.list(2, 6, 5);
        assertThat(asking.request()).hasSize(2);
        assertThat(asking.state()).isEqualTo(5);
        source.list(3, 2, 6);
        asking.request();
        assertThat(asking.state()).isEqualTo(6);
        asking.mirror.restart(Feed.OPERATOR, 3);
        assertThat(asking.request()).hasSize(2);
        assertThat(asking.state()).isEqualTo(6);
        assertThat(asking.mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(3, 1));
    }

    /** Guards against lapses that a reader, which has not seen the fallback, takes for none. */
    @Test
    void availabilityOfAnEarlierEraIsNotBelieved() {
        asking.readsSuspended = true;
        asking.list(2, 4, 3);
        source.list(1, 50, 3);
        asking.clusterView.targets().onStoreUnavailable();
        time.advanceMillis(60_000);
        asking.request();
        assertThat(asking.clusterView.targets().mayHaveLapsed()).isTrue();
        time.advanceMillis(60_000);
        assertThat(asking.clusterView.targets().mayHaveLapsed()).isTrue();
        source.list(2, 4, 3);
        asking.request();
        time.advanceMillis(60_000);
        assertThat(asking.clusterView.targets().mayHaveLapsed()).isFalse();
    }
}
