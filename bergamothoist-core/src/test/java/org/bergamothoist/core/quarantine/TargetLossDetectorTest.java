package org.bergamothoist.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.quarantine.SuspectContentsTest.content;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.quarantine.TargetLossDetector.ProbeResult;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetLossDetectorTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final RegisteredTarget target = target("i-1", "10.0.0.1:80", time.instant());
    private final List<Fingerprint> lost = new ArrayList<>();
    private ProbeResult probeResult = ProbeResult.ACCEPTED;
    private LivenessChecker.Result liveness = LivenessChecker.Result.UNKNOWN;
    private boolean registered = true;
    private int probes;
    private int checked;
    private final TargetLossDetector detector =
            new TargetLossDetector(
                    (address, receiver) -> {
                        probes++;
                        receiver.accept(probeResult);
                    },
                    checkedTarget -> receiver -> receiver.accept(liveness),
                    incarnation -> registered,
                    (loss, running) -> lost.addAll(running.keySet()),
                    time,
                    time,
                    (kind, subject, inputs, outcome) -> {});

    private static RegisteredTarget target(String id, String address, Instant startedAt) {
        return new RegisteredTarget(
                new TargetIncarnation(id, startedAt), "s", address, "a", 6, false, Map.of());
    }

    private void breakConnection(int content) {
        detector.onConnectionBroken(
                target,
                new BrokenRequest(
                        RequestKeys.ofContent(content(content)), "route=r", Duration.ZERO),
                finding -> checked++);
    }

    /** Guards against counting resets, cuts, freezes and planned stops as crashes. */
    @ParameterizedTest
    @CsvSource({
        "REFUSED, SERVING, SERVING, 1",
        "REFUSED, SERVING, GONE, 1",
        "ACCEPTED, SERVING, SERVING, 0",
        "NO_ANSWER, SERVING, SERVING, 0",
        "REFUSED, SERVING, LEAVING, 0",
        "REFUSED, LEAVING, LEAVING, 0",
        "REFUSED, LEAVING, GONE, 0",
        "REFUSED, GONE, GONE, 0",
    })
    void targetIsLostIfItsPortRefusesConnectionsAndItDoesNotLeave(
            ProbeResult result, String atBreak, String atProbe, int losses) {
        probeResult = result;
        setRegistration(atBreak);
        breakConnection(1);
        setRegistration(atProbe);
        time.advance(TargetLossDetector.PROBE_DELAY);
        assertThat(lost).hasSize(losses);
        assertThat(checked).isEqualTo(1);
    }

    private void setRegistration(String state) {
        registered = !state.equals("GONE");
        if (state.equals("LEAVING")) {
            detector.onTargetLeaving(target.incarnation());
        }
    }

    /** Guards against a probe for each of the many connections that one crash breaks. */
    @Test
    void connectionsOfOneTargetShareAProbe() {
        probeResult = ProbeResult.REFUSED;
        breakConnection(1);
        breakConnection(2);
        time.advance(TargetLossDetector.PROBE_DELAY);
        breakConnection(3);
        assertThat(lost).containsExactly(content(1), content(2), content(3));
        assertThat(probes).isEqualTo(1);
        assertThat(checked).isEqualTo(3);
    }

    /**
     * Guards against a crash that no probe shows, because the process started again at once or the
     * link was cut; and against taking a restart long after a reset for its cause.
     */
    @ParameterizedTest
    @CsvSource({
        "ACCEPTED, i-1, 10.0.0.1:80, 50, 1",
        "NO_ANSWER, i-2, 10.0.0.1:80, 4000, 1",
        "NO_ANSWER, i-1, 10.0.0.9:80, 4000, 1",
        "ACCEPTED, i-2, 10.0.0.9:80, 50, 0",
        "ACCEPTED, i-1, 10.0.0.1:80, 60000, 0",
    })
    void successorThatStartedWhenConnectionsBrokeShowsTheLoss(
            ProbeResult result, String id, String address, long startDelay, int losses) {
        probeResult = result;
        time.advance(Duration.ofMinutes(5));
        breakConnection(1);
        time.advanceMillis(startDelay);
        detector.onTargetStarted(target(id, address, time.instant()));
        detector.onTargetStarted(target(id, address, time.instant()));
        assertThat(lost).hasSize(losses);
    }

    /** Guards against a crash that is not counted because the successor is known first. */
    @Test
    void connectionThatBreaksAfterTheSuccessorIsRegisteredShowsTheLoss() {
        time.advance(Duration.ofMinutes(5));
        registered = false;
        detector.onTargetStarted(target("i-1", "10.0.0.1:80", time.instant()));
        breakConnection(1);
        assertThat(lost).containsExactly(content(1));
        assertThat(probes).isZero();
    }

    /** Guards against blaming content for a planned restart soon after a reset connection. */
    @ParameterizedTest
    @CsvSource({"2000, 5000", "5000, 2000", "20000, 21000"})
    void successorOfATargetThatWasLeavingShowsNoLoss(long breakDelay, long startDelay) {
        time.advance(Duration.ofMinutes(5));
        long leaveDelay = Math.min(breakDelay, startDelay) - 1_000;
        long latest = Math.max(breakDelay, startDelay);
        time.schedule(
                Duration.ofMillis(leaveDelay),
                () -> detector.onTargetLeaving(target.incarnation()));
        time.schedule(Duration.ofMillis(breakDelay), () -> breakConnection(1));
        time.schedule(
                Duration.ofMillis(startDelay),
                () -> {
                    registered = false;
                    detector.onTargetStarted(target("i-2", "10.0.0.1:80", time.instant()));
                });
        for (int second = 0; second < latest / 1_000; second++) {
            time.advance(Duration.ofSeconds(1));
            detector.removeExpired();
        }
        time.advance(TargetLossDetector.PROBE_DELAY);
        assertThat(checked).isEqualTo(1);
        assertThat(lost).isEmpty();
    }

    /** Guards against blaming content for a planned stop that follows a reset connection. */
    @Test
    void targetThatLeavesAfterAResetConnectionIsNotLost() {
        time.advance(Duration.ofMinutes(5));
        breakConnection(1);
        time.advance(TargetLossDetector.PROBE_DELAY);
        detector.onTargetLeaving(target.incarnation());
        time.advance(Duration.ofSeconds(3));
        detector.onTargetStarted(target("i-2", "10.0.0.1:80", time.instant()));
        assertThat(lost).isEmpty();
    }

    /**
     * Guards against a crash that looks like the end of an answer without a length, whatever its
     * port does, and against counting the end of an answer of a process that lives on.
     */
    @ParameterizedTest
    @CsvSource({
        "ENDED, REFUSED, SERVING, LOST, 1",
        "UNKNOWN, REFUSED, SERVING, LOST, 1",
        "ENDED, ACCEPTED, SERVING, UNKNOWN, 1",
        "UNKNOWN, ACCEPTED, SERVING, UNKNOWN, 0",
        "UNKNOWN, NO_ANSWER, SERVING, UNKNOWN, 0",
        "ALIVE, REFUSED, SERVING, ALIVE, 0",
        "ALIVE, ACCEPTED, SERVING, ALIVE, 0",
        "ALIVE, REFUSED, LEAVING, ALIVE, 0",
        "ENDED, REFUSED, LEAVING, LEFT, 0",
        "UNKNOWN, NO_ANSWER, LEAVING, UNKNOWN, 0",
        "ENDED, REFUSED, GONE, UNKNOWN, 0",
        "ALIVE, REFUSED, GONE, ALIVE, 0",
    })
    void answerEndedByCloseIsWholeOnlyIfItsProcessWasNotBrokenOff(
            LivenessChecker.Result process,
            ProbeResult port,
            String state,
            TargetLossDetector.Finding expected,
            int losses) {
        time.advance(Duration.ofMinutes(5));
        setRegistration(state);
        List<TargetLossDetector.Finding> findings = endAnswer(process, port);
        assertThat(findings).isEmpty();
        time.advance(TargetLossDetector.PROBE_DELAY);
        assertThat(findings).containsExactly(expected);
        detector.onTargetStarted(target("i-1", "10.0.0.1:80", time.instant()));
        assertThat(lost).hasSize(losses);
    }

    private List<TargetLossDetector.Finding> endAnswer(
            LivenessChecker.Result process, ProbeResult port) {
        List<TargetLossDetector.Finding> findings = new ArrayList<>();
        liveness = process;
        probeResult = port;
        detector.onAnswerEndedByClose(
                target,
                new BrokenRequest(RequestKeys.ofContent(content(1)), "route=r", Duration.ZERO),
                findings::add);
        return findings;
    }

    /** Guards against taking a crash of a target that leaves for its planned end. */
    @ParameterizedTest
    @CsvSource({"-15, UNKNOWN", "15, UNKNOWN", "-25, LEFT"})
    void targetThatLeavesAndBreaksAnswersOffHasNotEndedAsPlanned(
            int brokenAfter, TargetLossDetector.Finding expected) {
        time.advance(Duration.ofMinutes(5));
        setRegistration("LEAVING");
        if (brokenAfter < 0) {
            breakConnection(2);
            time.advanceMillis(-brokenAfter);
        }
        List<TargetLossDetector.Finding> findings =
                endAnswer(LivenessChecker.Result.ENDED, ProbeResult.REFUSED);
        if (brokenAfter > 0) {
            time.advanceMillis(brokenAfter);
            breakConnection(2);
        }
        time.advance(TargetLossDetector.PROBE_DELAY);
        assertThat(findings).containsExactly(expected);
        assertThat(lost).isEmpty();
    }

    @Test
    void unconfirmedSuspicionsAreForgotten() {
        breakConnection(1);
        time.advance(Duration.ofSeconds(30));
        detector.removeExpired();
        detector.onTargetStarted(target("i-1", "10.0.0.1:80", time.instant().minusSeconds(29)));
        assertThat(lost).isEmpty();
    }
}
