package org.bergamothoist.core.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests who gets reports in fleets of a few and of hundreds of daemons. */
class ReportScheduleTest {

    private final ReportSchedule schedule = new ReportSchedule();

    private static List<String> addresses(int count) {
        return IntStream.range(0, count).mapToObj(index -> "daemon-" + index).sorted().toList();
    }

    private static ReportSchedule.Situation situation(
            int receivers, int callerPeers, boolean active, boolean hasTargetReports) {
        Set<String> peers =
                IntStream.range(0, callerPeers)
                        .mapToObj(index -> "daemon-" + index)
                        .collect(Collectors.toSet());
        return new ReportSchedule.Situation(addresses(receivers), peers, active, hasTargetReports);
    }

    /**
     * Guards against a daemon that others take for dead, or whose load they do not know in time.
     */
    @ParameterizedTest
    @CsvSource({
        "5,5,true,200,200",
        "94,17,true,600,1000",
        "94,18,false,0,5000",
        "419,40,true,1000,1000",
    })
    void everyReceiverIsReachedWithinTheAnnouncedTime(
            int receivers, int callerPeers, boolean active, long complete, long announced) {
        ReportSchedule.Situation situation = situation(receivers, callerPeers, active, false);
        assertThat(ReportSchedule.nextReportWithin(situation)).hasMillis(announced);
        Map<String, Integer> reports = new HashMap<>();
        Map<String, Integer> completeReports = new HashMap<>();
        for (long elapsed = 0; elapsed < announced; elapsed += 200) {
            ReportSchedule.Round round = schedule.next(situation);
            round.heartbeats().forEach(receiver -> reports.merge(receiver, 1, Integer::sum));
            for (String receiver : round.complete()) {
                reports.merge(receiver, 1, Integer::sum);
                if (elapsed < complete) {
                    completeReports.merge(receiver, 1, Integer::sum);
                }
            }
        }
        assertThat(reports).hasSize(receivers);
        assertThat(completeReports).hasSize(active ? callerPeers : 0);
    }

    /** Guards against reports whose number grows with the square of the fleet. */
    @ParameterizedTest
    @CsvSource({"94,17,true,27", "94,18,false,4", "419,40,true,84", "419,40,false,17"})
    void datagramsOfARoundAreBounded(int receivers, int callerPeers, boolean active, int most) {
        ReportSchedule.Round round =
                schedule.next(situation(receivers, callerPeers, active, false));
        assertThat(round.complete().size() + round.heartbeats().size()).isLessThanOrEqualTo(most);
    }

    /** Guards against work on standby daemons that the others do not see. */
    @Test
    void standbyDaemonWithWorkReportsItToTheOnesThatTakeRequests() {
        ReportSchedule.Situation situation = situation(94, 18, false, true);
        assertThat(situation.completeReceivers()).hasSize(18);
        assertThat(ReportSchedule.nextReportWithin(situation)).isEqualTo(Duration.ofSeconds(5));
    }

    @Test
    void allDaemonsGetCompleteReportsWhileAssignmentsAreUnknown() {
        assertThat(situation(94, 0, true, false).completeReceivers()).hasSize(94);
    }
}
