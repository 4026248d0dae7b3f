package org.bergamothoist.gateway.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against weight versions that are dated later than operators requested them, so that
 * requests start on outdated weights after the limit.
 */
class WeightVersionDatingTest {

    private static final String MODEL = "m";
    private static final Duration LONGEST_OUTDATED = Duration.ofSeconds(15);
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(1_400);
    private static final Duration ASSUMED_AGE = LONGEST_OUTDATED.dividedBy(2);
    private static final Duration STARTED_AGO = Duration.ofSeconds(20);

    /** Lateness that remains if a pause is too short to be detected. */
    private static final Duration TOLERANCE = Duration.ofMillis(500);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final PausableProcess process = new PausableProcess();
    private final FakeStore store = new FakeStore();

    /**
     * Runs what becomes due during a pause at its end: answers in the order in which they arrived,
     * and the check for pauses before or after them.
     */
    private final class PausableProcess implements Scheduler {

        private Instant pausedUntil = Instant.MIN;
        private boolean answersFirst;

        void pauseFor(Duration duration) {
            pausedUntil = time.instant().plus(duration);
        }

        @Override
        public void execute(Runnable task) {
            schedule(Duration.ZERO, task);
        }

        @Override
        public Cancellable schedule(Duration delay, Runnable task) {
            return time.schedule(delay, () -> runUnlessPaused(task, Duration.ZERO));
        }

        void scheduleCheck(Duration delay, Runnable check) {
            Duration late = answersFirst ? Duration.ofMillis(30) : Duration.ZERO;
            time.schedule(delay, () -> runUnlessPaused(check, late));
        }

        private void runUnlessPaused(Runnable task, Duration late) {
            if (time.instant().isBefore(pausedUntil)) {
                time.schedule(Duration.between(time.instant(), pausedUntil).plus(late), task);
                return;
            }
            task.run();
        }
    }

    /** A store that answers a read when a record is published or its wait has expired. */
    private final class FakeStore implements FeedSource {

        private final List<FeedRecord> records = new ArrayList<>();
        private final List<Read> waiting = new ArrayList<>();
        private boolean rejecting;

        private record Read(long from, CompletableFuture<Page> answer) {}

        void publish(int version) {
            byte[] value = String.valueOf(version).getBytes(StandardCharsets.UTF_8);
            records.add(new FeedRecord(MODEL, records.size(), Optional.of(value)));
            List.copyOf(waiting).forEach(this::answer);
        }

        @Override
        public CompletionStage<Listing> list(Feed feed) {
            CompletableFuture<Listing> answer = new CompletableFuture<>();
            if (rejecting) {
                process.execute(() -> answer.completeExceptionally(rejection()));
                return answer;
            }
            Listing listing = new Listing(List.copyOf(records), records.size());
            process.execute(() -> answer.complete(listing));
            return answer;
        }

        @Override
        public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
            Read read = new Read(from, new CompletableFuture<>());
            if (rejecting) {
                process.execute(() -> read.answer().completeExceptionally(rejection()));
                return read.answer();
            }
            waiting.add(read);
            if (from < records.size()) {
                answer(read);
            }
            time.schedule(wait, () -> answer(read));
            return read.answer();
        }

        private void answer(Read read) {
            if (!waiting.remove(read)) {
                return;
            }
            List<FeedRecord> found =
                    List.copyOf(records.subList((int) read.from(), records.size()));
            Page page = new Page(found, records.size());
            process.execute(() -> read.answer().complete(page));
        }

        private static Throwable rejection() {
            return new IllegalStateException("rejected by the store");
        }
    }

    private static final class WeightsOnlyDecoder implements RecordDecoder {

        @Override
        public boolean isConfigurationKey(String key) {
            return false;
        }

        @Override
        public Optional<RouteConfiguration> configuration(byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<DesiredWeights> desiredWeights(String key, byte[] value) {
            int version = Integer.parseInt(new String(value, StandardCharsets.UTF_8));
            return Optional.of(new DesiredWeights(key, version));
        }

        @Override
        public Optional<Registration> registration(String key, byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<String> daemonAddress(byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<Fingerprint> quarantinedContentKey(String key) {
            return Optional.empty();
        }

        @Override
        public Optional<QuarantinedContent> quarantinedContent(Fingerprint content, byte[] value) {
            return Optional.empty();
        }
    }

    /** A daemon's part that reads the operators' feed, wired as in a whole daemon. */
    private final class Daemon {

        private final ClusterView clusterView =
                ClusterView.empty(new DaemonId("daemon-1", 1), time, ASSUMED_AGE);
        private final PauseDetector pauses = new PauseDetector(TOLERANCE, time, pause -> {});
        private final FeedFreshness freshness =
                new FeedFreshness(MAXIMUM_WAIT.plus(TOLERANCE), pauses, time);

        private void recordRuns() {
            pauses.recordRun();
            process.scheduleCheck(TOLERANCE.dividedBy(2), this::recordRuns);
        }

        private void start() {
            recordRuns();
            ClusterViewUpdater updater =
                    new ClusterViewUpdater(
                            clusterView,
                            new WeightsOnlyDecoder(),
                            null,
                            freshness,
                            time,
                            null,
                            (kind, subject, inputs, outcome) -> {});
            FeedFollower follower =
                    new FeedFollower(
                            Feed.OPERATOR,
                            store,
                            () ->
                                    new FeedFollower.PollSettings(
                                            Duration.ofMillis(20), MAXIMUM_WAIT),
                            process,
                            time,
                            () -> 0.5,
                            new MirroringFeedObserver(
                                    new ReplicatedFeeds(
                                            new FeedMirror(updater), freshness, freshness),
                                    clusterView.targets(),
                                    feed -> {},
                                    (kind, subject, inputs, outcome) -> {}));
            process.execute(follower::start);
        }

        private Instant outdatedSince(int version) {
            return clusterView.desiredWeightVersions().outdatedSince(MODEL, version).orElseThrow();
        }
    }

    private Daemon startDaemon() {
        Daemon daemon = new Daemon();
        daemon.start();
        return daemon;
    }

    /**
     * Guards against a process that stands still while a version is published and dates it by the
     * end of the pause. The read that is pending at the start of the pause may have ended without a
     * record, so that a read after the pause brings the version.
     */
    @ParameterizedTest
    @CsvSource({
        "0,0,false",
        "0,0,true",
        "100,400,false",
        "100,400,true",
        "100,1300,false",
        "100,1300,true",
        "100,4600,false",
        "100,4600,true",
        "700,4600,false",
        "700,4600,true",
        "1400,5000,false",
        "1400,5000,true",
        "1500,5000,false",
        "1500,5000,true",
        "2000,5000,false",
        "2000,5000,true",
        "4000,5000,false",
        "4000,5000,true",
        "4900,5000,false",
        "4900,5000,true",
        "9000,10000,false",
        "9000,10000,true"
    })
    void versionPublishedDuringPauseIsNotDatedByItsEnd(
            long sincePause, long pauseMilliseconds, boolean answersFirst) {
        process.answersFirst = answersFirst;
        store.publish(1);
        Daemon daemon = startDaemon();
        time.advance(STARTED_AGO);
        process.pauseFor(Duration.ofMillis(pauseMilliseconds));
        time.advanceMillis(sincePause);
        Instant publishedAt = time.instant();
        store.publish(2);
        time.advanceMillis(pauseMilliseconds + 5_000);
        assertThat(daemon.outdatedSince(1)).isBeforeOrEqualTo(publishedAt.plus(TOLERANCE));
    }

    /**
     * Guards against a daemon that dates a version by the end of a time in which the store rejected
     * its reads, because that time was short.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 400, 700, 1_500, 1_800, 5_000})
    void versionPublishedWhileReadsAreRejectedIsNotDatedByTheNextRead(long sinceRejection) {
        store.publish(1);
        Daemon daemon = startDaemon();
        time.advance(STARTED_AGO);
        store.rejecting = true;
        time.advance(MAXIMUM_WAIT);
        Instant publishedAt = time.instant();
        store.publish(2);
        time.advanceMillis(sinceRejection);
        store.rejecting = false;
        time.advanceMillis(5_000);
        assertThat(daemon.outdatedSince(1)).isBeforeOrEqualTo(publishedAt.plus(TOLERANCE));
    }

    /**
     * Guards against a daemon that the store rejects for some time after its start, and that dates
     * versions from before its start by its start or by its first read.
     */
    @ParameterizedTest
    @CsvSource({"0,7000", "3000,7000", "5000,1000", "9000,7000"})
    void versionOfFirstReadIsAssumedToBeOlder(long rejectedMilliseconds, long publishedBefore) {
        store.publish(2);
        time.advanceMillis(publishedBefore);
        store.rejecting = true;
        Daemon daemon = startDaemon();
        time.advanceMillis(rejectedMilliseconds);
        store.rejecting = false;
        time.advanceMillis(1_000);
        Instant readAtLatest = time.instant();
        assertThat(daemon.outdatedSince(1)).isBeforeOrEqualTo(readAtLatest.minus(ASSUMED_AGE));
    }
}
