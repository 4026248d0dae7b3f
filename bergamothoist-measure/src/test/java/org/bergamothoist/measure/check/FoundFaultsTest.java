package org.bergamothoist.measure.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Repeats the shortest plans of faults that randomised runs have found. */
class FoundFaultsTest {

    private static final Interposition NONE = new Interposition() {};

    private static void holds(long seed, int daemons, Step... steps) {
        for (boolean checkpointDue : new boolean[] {true, false}) {
            Plan plan = new Plan(seed, daemons, checkpointDue, false, List.of(steps));
            assertThat(World.run(plan, NONE).violations()).isEmpty();
        }
    }

    private static Step fault(int milliseconds, FaultKind kind, int subject, int length) {
        return new Step.Fault(
                Duration.ofMillis(milliseconds), kind, subject, Duration.ofMillis(length));
    }

    /** Guards against a daemon on a new VM that hears no peer while the log cannot be read. */
    @Test
    void daemonOnNewMachineServesWhileLogCannotBeRead() {
        holds(
                54,
                6,
                fault(15_702, FaultKind.LOG_READS_DOWN, 375, 8_502),
                fault(18_680, FaultKind.MACHINE_REPLACEMENT, 712, 2_296));
    }

    /** Guards against resumptions at a leaving engine that count as new work for it. */
    @Test
    void streamIsResumedAtLeavingEngine() {
        holds(
                30_194,
                3,
                new Step.Completion(
                        Duration.ofMillis(3_115),
                        1,
                        1,
                        0,
                        627,
                        69,
                        true,
                        new Step.Behaviour(false, 0, 405, 0, 0),
                        ""),
                fault(11_874, FaultKind.ENGINE_LEAVING, 272, 6_903),
                fault(19_591, FaultKind.MACHINE_REPLACEMENT, 878, 7_649));
    }
}
