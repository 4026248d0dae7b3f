package org.bergamothoist.gateway.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against versions that are dated late because a daemon takes the store to be down for all
 * although one that it does not see may read it.
 */
class CommonOutageDetectorTest {

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final DaemonDirectory daemons = new DaemonDirectory(new DaemonId("daemon-1", 1), time);
    private final PauseDetector pauses =
            new PauseDetector(REPORT_INTERVAL.multipliedBy(2), time, pause -> {});
    private final FeedFreshness freshness = new FeedFreshness(Duration.ofDays(1), pauses, time);
    private final CommonOutageDetector detector =
            new CommonOutageDetector(daemons, freshness, pauses, () -> false);
    private long sequence;

    private void report(String name, boolean storeReachable) {
        report(name, storeReachable, REPORT_INTERVAL);
    }

    private void report(String name, boolean storeReachable, Duration nextWithin) {
        daemons.update(
                new DaemonReport(
                        new DaemonId(name, 1),
                        ++sequence,
                        "127.0.0.1:1",
                        "127.0.0.1:2",
                        "a",
                        true,
                        storeReachable,
                        false,
                        1,
                        1.0,
                        nextWithin,
                        true,
                        true,
                        List.of()));
    }

    private void run(long milliseconds, boolean secondReachable, long thirdReportsFor) {
        run(milliseconds, secondReachable, thirdReportsFor, false);
    }

    /** Runs the daemon while daemon-2 reports, and daemon-3 until the given time. */
    private void run(
            long milliseconds,
            boolean secondReachable,
            long thirdReportsFor,
            boolean thirdReachable) {
        Instant start = time.instant();
        Instant thirdEnd = start.plusMillis(thirdReportsFor);
        while (time.instant().isBefore(start.plusMillis(milliseconds))) {
            pauses.recordRun();
            report("daemon-2", secondReachable);
            if (time.instant().isBefore(thirdEnd)) {
                report("daemon-3", thirdReachable);
            }
            detector.update();
            time.advance(REPORT_INTERVAL);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "false,10000,false,true",
        "true,10000,false,false",
        "false,10000,true,false",
        "false,100,true,false",
        "false,3000,true,false",
        "false,100,false,true",
        "false,3000,false,true"
    })
    void outageIsCommonUnlessADaemonReadOrMayStillRead(
            boolean secondReachable, long thirdReportsFor, boolean thirdReachable, boolean common) {
        freshness.recordComplete(time.instant());
        run(6_000, secondReachable, thirdReportsFor, thirdReachable);
        Instant known = freshness.completeUntil().orElseThrow();
        Instant expected = time.instant().minusMillis(3_000);
        assertThat(known.isAfter(expected)).isEqualTo(common);
    }

    @ParameterizedTest
    @CsvSource({"3000,true", "1000,false"})
    void daemonThatWasSilentBeforeTheOutageDoesNotCount(long silentFor, boolean common) {
        report("daemon-3", true);
        time.advanceMillis(silentFor);
        freshness.recordComplete(time.instant());
        run(6_000, false, 0);
        Instant known = freshness.completeUntil().orElseThrow();
        assertThat(known.isAfter(time.instant().minusMillis(3_000))).isEqualTo(common);
    }

    /** A daemon on standby reports rarely; its last report says nothing of the time after it. */
    @ParameterizedTest
    @CsvSource({"200", "5000"})
    void outageIsKnownUpToTheOldestReport(long nextWithin) {
        freshness.recordComplete(time.instant());
        run(1_000, false, 0);
        Instant oldestReport = time.instant();
        report("daemon-3", false, Duration.ofMillis(nextWithin));
        run(1_400, false, 0);
        assertThat(freshness.completeUntil()).contains(oldestReport);
    }

    @ParameterizedTest
    @CsvSource({"1000,false", "5000,true"})
    void reportsFromBeforeAPauseDoNotCount(long sincePause, boolean common) {
        freshness.recordComplete(time.instant());
        run(1_000, false, 0);
        time.advanceMillis(5_000);
        Instant resumed = time.instant();
        run(sincePause, false, 0);
        Instant known = freshness.completeUntil().orElseThrow();
        assertThat(known.isAfter(resumed)).isEqualTo(common);
    }

    @Test
    void outageThatBeganBeforeTheFirstReadBoundsNothing() {
        run(6_000, false, 6_000);
        assertThat(freshness.completeUntil()).isEmpty();
    }
}
