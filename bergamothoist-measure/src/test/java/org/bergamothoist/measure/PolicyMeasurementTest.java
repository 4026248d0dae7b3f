package org.bergamothoist.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PolicyMeasurementTest {

    private static final long SEED = 11;

    /** Guards against figures that depend on hash order, the real clock or a shared generator. */
    @ParameterizedTest
    @ValueSource(strings = {"brunner", "al-harthy"})
    void sameSeedGivesSameRows(String name) {
        EnumSet<Scenario> scenarios = EnumSet.of(Scenario.ENGINE_CRASH, Scenario.EVENT_LOSS);
        EnumSet<PolicyKind> policies = EnumSet.of(PolicyKind.BERGAMOTHOIST, PolicyKind.ORACLE);

        List<MeasurementRow> first = measurement(name).measure(scenarios, policies);
        List<MeasurementRow> second = measurement(name).measure(scenarios, policies);

        assertThat(first).hasSize(4).isEqualTo(second);
    }

    /** Guards against requests that are neither answered nor refused, which would hide loss. */
    @Test
    void everyOfferedRequestIsAnsweredOrRefused() {
        double capacity = measurement("brunner").capacity();
        for (Scenario scenario : EnumSet.of(Scenario.ENGINE_CRASH, Scenario.LOAD_110)) {
            RunSettings settings =
                    new RunSettings(
                            Deployment.BRUNNER,
                            scenario,
                            PolicyKind.BERGAMOTHOIST,
                            SEED,
                            scenario.load() * capacity,
                            false,
                            0);

            RunResult result = new Run(settings).execute();

            assertThat(result.answered() + result.refused()).isEqualTo(result.offered());
        }
    }

    private static PolicyMeasurement measurement(String deployment) {
        return new PolicyMeasurement(Deployment.named(deployment), SEED);
    }
}
