package org.bergamothoist.core.fleet;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/** Chooses the target of a request to a plain service by load and failures. */
public final class ServicePlacement {

    /** Failure rate that weighs as much as one full target: failing fast must not attract work. */
    private static final double FAILURE_WEIGHT = 4.0;

    /** Advantage of a target in the own data centre: less than one request of six slots. */
    private static final double SAME_DATA_CENTRE_BONUS = 0.1;

    /** Breaks ties at random, so that daemons do not choose the same target at once. */
    private static final double TIE_BREAK = 0.02;

    private final String dataCentre;
    private final TargetStates states;
    private final InstantSource clock;
    private final DoubleSupplier random;

    /**
     * Creates a placement.
     *
     * @param dataCentre where this daemon is
     * @param random draws numbers from 0 to 1
     */
    public ServicePlacement(
            String dataCentre, TargetStates states, InstantSource clock, DoubleSupplier random) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Returns the best target, or empty if there is none.
     *
     * @param tried identifiers of targets that are not to be chosen again
     */
    public Optional<RegisteredTarget> choose(List<RegisteredTarget> targets, Set<String> tried) {
        Instant now = clock.instant();
        List<RegisteredTarget> untried =
                targets.stream().filter(target -> !tried.contains(target.id())).toList();
        return states.acceptingElseAll(untried, now).stream()
                .map(target -> new Scored(target, cost(target, now)))
                .min(Comparator.comparingDouble(Scored::cost))
                .map(Scored::target);
    }

    private double cost(RegisteredTarget target, Instant now) {
        TargetState state = states.of(target.incarnation());
        double occupied = (double) state.load().totalRequests(now) / Math.max(1, target.slots());
        double failures = FAILURE_WEIGHT * state.health().failureRate();
        double bonus = target.dataCentre().equals(dataCentre) ? SAME_DATA_CENTRE_BONUS : 0;
        return occupied + failures - bonus + TIE_BREAK * random.getAsDouble();
    }

    private record Scored(RegisteredTarget target, double cost) {}
}
