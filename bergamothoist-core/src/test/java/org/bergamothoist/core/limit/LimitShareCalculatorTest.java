package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.data.Offset;
import org.bergamothoist.core.cache.ManualScheduler;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.junit.jupiter.api.Test;

class LimitShareCalculatorTest {

    private static final OrganisationId CLINIC = new OrganisationId("clinic");
    private static final int LIMIT = 120;
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final ManualScheduler time = new ManualScheduler();

    /**
     * Guards against exceeding the limit over all daemons for longer than the window. Heartbeats
     * are lost for a while, then all arrive while the demand still changes.
     */
    @Property(tries = 100, seed = "815")
    void sharesReturnToTheLimitWhenHeartbeatsArriveAgain(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int count) {
        Random random = new Random(seed);
        List<LimitShareCalculator> daemons = daemons(count);
        for (int second = 0; second < 40; second++) {
            boolean lossy = second / 5 % 2 == 0;
            for (int sender = 0; sender < count; sender++) {
                Map<OrganisationId, Integer> demand =
                        Map.of(CLINIC, random.nextInt(3) == 0 ? random.nextInt(400) : 0);
                daemons.get(sender).setOwnDemand(demand);
                send(daemons, sender, demand, lossy, random);
            }
            time.advance(Duration.ofSeconds(1));
            if (!lossy) {
                assertThat(sum(daemons)).isLessThanOrEqualTo(1 + ROUNDING_TOLERANCE);
            }
        }
    }

    /** Sends a heartbeat to all other daemons; in a lossy second one in four arrives. */
    private void send(
            List<LimitShareCalculator> daemons,
            int sender,
            Map<OrganisationId, Integer> demand,
            boolean lossy,
            Random random) {
        for (int receiver = 0; receiver < daemons.size(); receiver++) {
            boolean arrives = !lossy || random.nextInt(4) == 0;
            if (receiver != sender && arrives) {
                LimitShareCalculator recipient = daemons.get(receiver);
                int number = sender;
                time.schedule(
                        Duration.ofMillis(1), () -> recipient.onHeartbeat(id(number), demand));
            }
        }
    }

    /** Guards against a network partition in which every side uses the whole limit. */
    @Test
    void partitionedGroupsTogetherStayWithinLimit() {
        List<LimitShareCalculator> daemons = daemons(6);
        for (int second = 0; second < 6; second++) {
            for (int sender = 0; sender < 6; sender++) {
                Map<OrganisationId, Integer> demand = Map.of(CLINIC, sender == 0 ? 500 : 100);
                daemons.get(sender).setOwnDemand(demand);
                for (int receiver = 0; receiver < 6; receiver++) {
                    if (receiver != sender && receiver / 2 == sender / 2) {
                        daemons.get(receiver).onHeartbeat(id(sender), demand);
                    }
                }
            }
            time.advance(Duration.ofSeconds(1));
        }
        assertThat(sum(daemons)).isCloseTo(1, Offset.offset(ROUNDING_TOLERANCE));
    }

    /**
     * Guards against shares that ignore demand, and against a share below L/n for a daemon with
     * more demand.
     */
    @Test
    void sharesFollowDemandAboveEqualShareFloor() {
        List<LimitShareCalculator> daemons = daemons(4);
        int[] demands = {1_000, 40, 0, 0};
        for (int second = 0; second < 6; second++) {
            for (int sender = 0; sender < 4; sender++) {
                Map<OrganisationId, Integer> demand = Map.of(CLINIC, demands[sender]);
                daemons.get(sender).setOwnDemand(demand);
                for (int receiver = 0; receiver < 4; receiver++) {
                    if (receiver != sender) {
                        daemons.get(receiver).onHeartbeat(id(sender), demand);
                    }
                }
            }
            time.advance(Duration.ofSeconds(1));
        }
        assertThat(daemons.get(0).share(CLINIC, LIMIT)).isGreaterThan(0.5);
        assertThat(daemons.get(1).share(CLINIC, LIMIT))
                .isGreaterThanOrEqualTo(0.25 - ROUNDING_TOLERANCE);
        assertThat(daemons.get(2).share(CLINIC, LIMIT)).isPositive();
        assertThat(sum(daemons)).isCloseTo(1, Offset.offset(ROUNDING_TOLERANCE));
    }

    private List<LimitShareCalculator> daemons(int count) {
        List<LimitShareCalculator> daemons = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            LimitShareCalculator calculator =
                    new LimitShareCalculator(time, LimitShareCalculator.STANDARD_WINDOW);
            calculator.setDaemonCount(count);
            daemons.add(calculator);
        }
        return daemons;
    }

    private static double sum(List<LimitShareCalculator> daemons) {
        return daemons.stream().mapToDouble(daemon -> daemon.share(CLINIC, LIMIT)).sum();
    }

    private static DaemonId id(int number) {
        return new DaemonId("daemon-" + number, 1);
    }
}
