package org.bergamothoist.core.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonDirectoryTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final DaemonDirectory directory = new DaemonDirectory(new DaemonId("self", 1), time);

    private static DaemonReport report(
            String name, long incarnation, long sequence, String dataCentre, boolean ready) {
        return new DaemonReport(
                new DaemonId(name, incarnation),
                sequence,
                name + ":1",
                name + ":2",
                dataCentre,
                ready,
                true,
                false,
                1,
                1,
                Duration.ZERO,
                false,
                true,
                List.of());
    }

    private List<String> addresses(Optional<CallerAssignment.Candidate> own) {
        return CallerAssignment.addresses(directory.readyDaemons(own), "x", 64);
    }

    @ParameterizedTest
    @CsvSource({"1,5,1,6,true", "1,5,1,5,false", "1,5,2,1,true", "2,5,1,9,false"})
    void onlyNewerReportsAreStored(
            long incarnation,
            long sequence,
            long laterIncarnation,
            long laterSequence,
            boolean stored) {
        directory.update(report("a", incarnation, sequence, "x", true));
        assertThat(directory.update(report("a", laterIncarnation, laterSequence, "x", true)))
                .isEqualTo(stored);
    }

    @Test
    void readyDaemonsOfTheCallersDataCentreComeFirst() {
        directory.update(report("far", 1, 1, "y", true));
        directory.update(report("near", 1, 1, "x", true));
        directory.update(report("stopping", 1, 1, "x", false));
        assertThat(
                        addresses(
                                Optional.of(
                                        new CallerAssignment.Candidate(
                                                "self", "y", "self:1", "self:2", 1))))
                .containsExactly("near:1", "self:1", "far:1");
    }

    @Test
    void silentDaemonIsNoLongerReturned() {
        directory.update(report("a", 1, 1, "x", true));
        time.advanceMillis(DaemonDirectory.LIVENESS_TIMEOUT.toMillis() + 1);
        assertThat(addresses(Optional.empty())).isEmpty();
        assertThat(directory.reportReceivers()).containsExactly("a:2");
    }

    @Test
    void candidateAddressGetsReportsButIsNotReturned() {
        directory.addCandidate("b:2");
        assertThat(directory.reportReceivers()).containsExactly("b:2");
        assertThat(addresses(Optional.empty())).isEmpty();
    }

    /**
     * Guards against daemons that count as silent by turns because each of them reports to a part
     * of a large fleet in turn.
     */
    @ParameterizedTest
    @CsvSource({
        "200,1500,true",
        "200,1700,false",
        "1000,2500,true",
        "5000,10500,true",
        "5000,10700,false"
    })
    void daemonIsAliveUntilTwoAnnouncedReportsAreMissing(
            long nextMilliseconds, long silentMilliseconds, boolean alive) {
        DaemonReport base = report("a", 1, 1, "x", true);
        directory.update(
                new DaemonReport(
                        base.daemon(),
                        base.sequence(),
                        base.callerAddress(),
                        base.peerAddress(),
                        base.dataCentre(),
                        true,
                        true,
                        false,
                        1,
                        1,
                        Duration.ofMillis(nextMilliseconds),
                        false,
                        true,
                        List.of()));
        time.advanceMillis(silentMilliseconds);
        assertThat(directory.aliveReports()).hasSize(alive ? 1 : 0);
    }
}
