package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;

class LimitShareDemandTest {

    private static final OrganisationId CLINIC = new OrganisationId("clinic");
    private static final int LIMIT = 30;
    private static final int DAEMONS = 6;

    private final InstantSource clock = InstantSource.fixed(Instant.EPOCH);

    /** Guards against all daemons together admitting more than the limit. */
    @Property(tries = 200)
    void sharesAddUpToAtMostTheLimit(
            @ForAll @Size(DAEMONS) List<@IntRange(max = 100) Integer> demands) {
        List<LimitShareCalculator> calculators = calculators();
        announce(calculators, demands);
        assertThat(calculators.stream().mapToDouble(this::share).sum())
                .isLessThanOrEqualTo(1.000001);
    }

    /**
     * Guards against refusing callers that are below the limit but have moved to another daemon.
     */
    @Property(tries = 50)
    void daemonGetsItsDemandAsSoonAsItIsAnnounced(@ForAll @IntRange(max = DAEMONS - 1) int from) {
        List<LimitShareCalculator> calculators = calculators();
        int to = (from + 1) % DAEMONS;
        announce(calculators, demandOf(from, 20));
        announce(calculators, demandOf(to, 20));
        assertThat(share(calculators.get(to)) * LIMIT).isGreaterThan(20);
        assertThat(share(calculators.get(from)) * LIMIT).isLessThan(3).isGreaterThan(0.5);
    }

    /** Guards against a daemon that gets less than others with the same demand. */
    @Property(tries = 20)
    void equalDemandsGetEqualShares(@ForAll @IntRange(min = 1, max = 100) int demand) {
        List<LimitShareCalculator> calculators = calculators();
        announce(calculators, List.of(demand, demand, demand, demand, demand, demand));
        assertThat(calculators)
                .allSatisfy(each -> assertThat(share(each)).isCloseTo(1.0 / 6, within(1e-9)));
    }

    private double share(LimitShareCalculator calculator) {
        return calculator.share(CLINIC, LIMIT);
    }

    private List<LimitShareCalculator> calculators() {
        List<LimitShareCalculator> calculators = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            calculators.add(new LimitShareCalculator(clock, Duration.ofSeconds(3)));
            calculators.get(index).setDaemonCount(DAEMONS);
        }
        return calculators;
    }

    private static List<Integer> demandOf(int daemon, int demand) {
        List<Integer> demands = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            demands.add(index == daemon ? demand : 0);
        }
        return demands;
    }

    private static void announce(List<LimitShareCalculator> calculators, List<Integer> demands) {
        for (int sender = 0; sender < DAEMONS; sender++) {
            Map<OrganisationId, Integer> demand = Map.of(CLINIC, demands.get(sender));
            calculators.get(sender).setOwnDemand(demand);
            for (int receiver = 0; receiver < DAEMONS; receiver++) {
                if (receiver != sender) {
                    calculators
                            .get(receiver)
                            .onHeartbeat(new DaemonId("daemon-" + sender, 1), demand);
                }
            }
        }
    }
}
