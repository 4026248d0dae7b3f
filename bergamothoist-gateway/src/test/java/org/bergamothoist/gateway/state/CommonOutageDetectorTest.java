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
            new CommonOutageDetector(daemons, freshness, pauses, () -> false, time);
    private long sequence;

    private void report(String name, boolean storeReachable) {
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
                        REPORT_INTERVAL,
                        true,
                        true,
                        List.of()));
    }

    /** Runs the daemon while daemon-2 reports, and daemon-3 until the given time. */
    private void run(long milliseconds, boolean secondReachable, long thirdReportsFor) {
        Instant start = time.instant();
        Instant thirdEnd = start.plusMillis(thirdReportsFor);
        while (time.instant().isBefore(start.plusMillis(milliseconds))) {
            pauses.recordRun();
            report("daemon-2", secondReachable);
            if (time.instant().isBefore(thirdEnd)) {
                report("daemon-3", false);
            }
            detector.update();
            time.advance(REPORT_INTERVAL);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "false,10000,true",
        "true,10000,false",
        "false,100,false",
        "false,3000,false",
    })
    void outageIsCommonOnlyIfAllKnownDaemonsReportIt(
            boolean secondReachable, long thirdReportsFor, boolean common) {
        freshness.recordComplete(time.instant());
        run(6_000, secondReachable, thirdReportsFor);
        Instant known = freshness.completeUntil().orElseThrow();
        Instant expected = time.instant().minusMillis(3_000);
        assertThat(known.isAfter(expected)).isEqualTo(common);
    }

    @ParameterizedTest
    @CsvSource({"3000,true", "1000,false"})
    void daemonThatWasSilentBeforeTheOutageDoesNotCount(long silentFor, boolean common) {
        report("daemon-3", false);
        time.advanceMillis(silentFor);
        freshness.recordComplete(time.instant());
        run(6_000, false, 0);
        Instant known = freshness.completeUntil().orElseThrow();
        assertThat(known.isAfter(time.instant().minusMillis(3_000))).isEqualTo(common);
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
