package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.state.ClusterView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which daemons are asked for what the store may have lost, and when. */
class RecordRecoveryTest {

    private static final String SELF = "self:1";
    private static final Duration LONGEST_READ = Duration.ofMillis(1_900);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<String> called = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final ClusterView clusterView =
            ClusterView.empty(new DaemonId("self", 1), time, Duration.ofSeconds(1));
    private final RecordRecovery recovery =
            new RecordRecovery(
                    createRelay(),
                    clusterView.daemons(),
                    clusterView.configuration(),
                    SELF,
                    LONGEST_READ,
                    time,
                    time,
                    () -> 0.5,
                    new MetricRegistry(),
                    (kind, subject, inputs, outcome) -> outcomes.add(outcome));
    private Behaviour behaviour = Behaviour.ANSWERS;
    private long sequence;

    private enum Behaviour {
        ANSWERS,
        HAS_NOTHING,
        REFUSES,
        IS_SILENT
    }

    private RecordRelay createRelay() {
        FeedFreshness freshness =
                new FeedFreshness(
                        LONGEST_READ,
                        new PauseDetector(Duration.ofDays(1), time, pause -> {}),
                        time);
        return new RecordRelay(
                new ReplicatedFeeds(new FeedMirror((feed, record) -> {}), freshness, freshness),
                clusterView,
                this::call,
                () -> false,
                () -> false,
                () -> false,
                time,
                time,
                () -> 0.5,
                (kind, subject, inputs, outcome) -> {});
    }

    private CompletionStage<HttpAnswer> call(HttpCaller.Call call) {
        called.add(call.address());
        return switch (behaviour) {
            case ANSWERS -> answer(List.of(new FeedRecord("k", 1, Optional.of(new byte[1]))));
            case HAS_NOTHING -> answer(List.of());
            case REFUSES -> CompletableFuture.failedFuture(new IllegalStateException("refused"));
            case IS_SILENT -> new CompletableFuture<>();
        };
    }

    private CompletionStage<HttpAnswer> answer(List<FeedRecord> records) {
        var feed =
                new GossipMessageCodec.RelayedFeed(
                        records, Optional.empty(), Optional.of(new LogPosition(0, 1)));
        byte[] body =
                GossipMessageCodec.encode(
                        new GossipMessageCodec.RelayResponse(feed, feed, List.of(), false));
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        time.schedule(
                Duration.ofMillis(2),
                () -> answer.complete(new HttpAnswer(200, EmptyHttpHeaders.INSTANCE, body)));
        return answer;
    }

    private void report(String daemon, long configurationVersion) {
        DaemonReport report =
                new DaemonReport(
                        new DaemonId(daemon, 1),
                        ++sequence,
                        daemon + ":2",
                        daemon + ":1",
                        "a",
                        true,
                        true,
                        false,
                        configurationVersion,
                        1.0,
                        Duration.ofSeconds(1),
                        true,
                        true,
                        List.of());
        clusterView.daemons().update(report);
        recovery.onReport(report);
    }

    private void addCandidates(int count) {
        clusterView.daemons().addCandidate(SELF);
        for (int index = 0; index < count; index++) {
            clusterView.daemons().addCandidate("candidate-" + index + ":1");
        }
    }

    /**
     * Guards against requests that grow with the fleet, against a daemon that asks itself, and
     * against one that is not ready because others are gone.
     *
     * @param expectedCalls calls until the end of the wait
     * @param milliseconds time after which the wait is over
     */
    @ParameterizedTest
    @CsvSource({
        "ANSWERS,0,0,0",
        "ANSWERS,2,2,2",
        "ANSWERS,300,4,2",
        "HAS_NOTHING,3,3,2",
        "HAS_NOTHING,300,12,6",
        "REFUSES,5,5,0",
        "REFUSES,300,12,0",
        "IS_SILENT,2,2,600",
        "IS_SILENT,300,4,600"
    })
    void startAsksAFewDaemons(
            Behaviour others, int candidates, int expectedCalls, long milliseconds) {
        behaviour = others;
        addCandidates(candidates);
        Instant before = time.instant();
        recovery.recoverAtStart();
        recovery.recoverAtStart();
        time.advanceMillis(Math.max(0, milliseconds - 1));
        assertThat(recovery.isStartCompleted()).isEqualTo(milliseconds == 0);
        time.advance(Duration.between(time.instant(), before.plusMillis(milliseconds)));
        assertThat(recovery.isStartCompleted()).isTrue();
        assertThat(outcomes).hasSize(1);
        time.advanceMillis(10_000);
        assertThat(called).doesNotHaveDuplicates().doesNotContain(SELF).hasSize(expectedCalls);
        assertThat(outcomes).hasSize(1);
    }

    /** Guards against requests to addresses of ended daemons while others are known to be alive. */
    @Test
    void aliveDaemonsAreAskedFirst() {
        addCandidates(300);
        for (int index = 0; index < RecordRecovery.MAXIMUM_ANSWERS; index++) {
            report("alive-" + index, 0);
        }
        recovery.recoverAtStart();
        time.advanceMillis(0);
        assertThat(called)
                .hasSize(RecordRecovery.MAXIMUM_ANSWERS)
                .allMatch(address -> address.startsWith("alive-"));
    }

    /** Guards against daemons that all ask at the moment of the fallback. */
    @Test
    void fallbackAsksAFewDaemonsThatAreAlive() {
        addCandidates(300);
        for (int index = 0; index < 300; index++) {
            report("alive-" + index, 0);
        }
        recovery.recoverAfterFallback();
        assertThat(called).isEmpty();
        time.advanceMillis(10_000);
        assertThat(called)
                .hasSize(RecordRecovery.MAXIMUM_ANSWERS)
                .allMatch(address -> address.startsWith("alive-"));
        assertThat(recovery.isStartCompleted()).isFalse();
    }

    /**
     * Guards against a configuration that others have and this daemon never gets, and against
     * requests for one that arrives by itself.
     *
     * @param seconds time for which ten daemons report the version ten times a second
     */
    @ParameterizedTest
    @CsvSource({"0,10,0,0", "5,1,0,0", "5,3,1,1", "5,11,3,5"})
    void newerConfigurationOfOthersIsAskedForAfterAWhile(
            long version, int seconds, int atLeast, int atMost) {
        for (int round = 0; round < seconds * 10; round++) {
            time.advanceMillis(100);
            for (int daemon = 0; daemon < 10; daemon++) {
                report("daemon-" + daemon, version);
            }
        }
        assertThat(called.size()).isBetween(atLeast, atMost);
    }
}
