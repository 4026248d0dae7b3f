package org.bergamothoist.core.fleet;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/** Selects the target of a request to a plain service by load, failure rate and data centre. */
public final class ServicePlacement {

    /**
     * Cost of a failure rate of 1, in fully loaded targets. High, since a target that fails fast
     * has a low load and would otherwise attract requests.
     */
    private static final double FAILURE_WEIGHT = 4.0;

    /** Maximum random cost, which breaks ties so that daemons do not all choose the same target. */
    private static final double TIE_BREAKING_JITTER = 0.02;

    private final String dataCentre;
    private final TargetStateTable states;
    private final DataCentreCrossing crossing;
    private final InstantSource clock;
    private final DoubleSupplier random;

    /**
     * Creates a placement policy.
     *
     * @param dataCentre data centre of this daemon
     * @param crossing cost of targets in other data centres
     * @param random supplies random numbers from 0 to 1
     */
    public ServicePlacement(
            String dataCentre,
            TargetStateTable states,
            DataCentreCrossing crossing,
            InstantSource clock,
            DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.crossing = crossing;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Returns the target with the lowest cost, or empty if there is none.
     *
     * @param tried identifiers of targets that were already tried and are excluded
     */
    public Optional<RegisteredTarget> choose(List<RegisteredTarget> targets, Set<String> tried) {
        Instant now = clock.instant();
        List<RegisteredTarget> untried =
                targets.stream().filter(target -> !tried.contains(target.id())).toList();
        return states.acceptingOrAll(untried, now).stream()
                .map(target -> new Scored(target, cost(target, now)))
                .min(Comparator.comparingDouble(Scored::cost))
                .map(Scored::target);
    }

    /** Returns the cost of a target, in fully loaded targets. */
    private double cost(RegisteredTarget target, Instant now) {
        TargetState state = states.getOrCreate(target.incarnation());
        double utilisation = (double) state.load().totalRequests(now) / Math.max(1, target.slots());
        double failureCost = FAILURE_WEIGHT * state.health().failureRate();
        double crossingCost =
                target.dataCentre().equals(dataCentre)
                        ? 0
                        : crossing.costInLoadedTargets(target.service(), target);
        return utilisation
                + failureCost
                + crossingCost
                + TIE_BREAKING_JITTER * random.getAsDouble();
    }

    private record Scored(RegisteredTarget target, double cost) {}
}
