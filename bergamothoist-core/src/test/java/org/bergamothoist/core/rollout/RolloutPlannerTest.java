package org.bergamothoist.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.rollout.RolloutPlanner.EngineRolloutState;
import org.bergamothoist.core.rollout.RolloutPlanner.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutPlannerTest {

    private static final Map<String, Integer> NEWEST = Map.of("m", 5);

    private static EngineRolloutState engine(
            String id, int version, Phase phase, boolean reachable, int outstandingRequests) {
        RegisteredTarget target =
                new RegisteredTarget(
                        new TargetIncarnation(id, Instant.EPOCH),
                        "s",
                        "10.0.0.1:80",
                        "a",
                        128,
                        false,
                        Map.of("m", version));
        return new EngineRolloutState(target, "m", version, phase, reachable, outstandingRequests);
    }

    @Test
    void ordersOldestWeightsFirstThenLeastLoadedEngines() {
        List<WeightOrder> orders =
                RolloutPlanner.plan(
                        List.of(
                                engine("a", 4, Phase.NONE, true, 0),
                                engine("b", 3, Phase.NONE, true, 9),
                                engine("c", 3, Phase.NONE, true, 2)),
                        NEWEST,
                        2);
        assertThat(orders).extracting(order -> order.engine().id()).containsExactly("c", "b");
        assertThat(orders).allMatch(order -> order.version() == 5);
    }

    @ParameterizedTest
    @CsvSource({
        "PREPARING,PREPARING,0",
        "LOADING,NONE,1",
        "NEARLY_LOADED,NEARLY_LOADED,2",
        "NONE,NONE,2",
    })
    void limitsLoadsInProgress(Phase one, Phase two, int expected) {
        List<EngineRolloutState> engines =
                List.of(
                        engine("a", 5, one, true, 0),
                        engine("b", 5, two, true, 0),
                        engine("c", 4, Phase.NONE, true, 0),
                        engine("d", 4, Phase.NONE, true, 0));
        assertThat(RolloutPlanner.plan(engines, NEWEST, 2)).hasSize(expected);
    }

    @ParameterizedTest
    @CsvSource({"LOADING,LOADING,false", "LOADING,NEARLY_LOADED,false", "LOADING,PREPARING,true"})
    void doesNotExceedMaximumLoads(Phase one, Phase two, boolean expected) {
        List<EngineRolloutState> engines =
                List.of(engine("a", 4, one, true, 0), engine("b", 4, two, true, 0));
        assertThat(RolloutPlanner.canStartLoad(engines, 2)).isEqualTo(expected);
    }

    @Test
    void ignoresCurrentAndUnreachableEngines() {
        List<EngineRolloutState> engines =
                List.of(engine("a", 5, Phase.NONE, true, 0), engine("b", 4, Phase.NONE, false, 0));
        assertThat(RolloutPlanner.plan(engines, NEWEST, 2)).isEmpty();
    }
}
