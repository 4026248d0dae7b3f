package org.bergamothoist.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;

/**
 * Compares placement policies for a deployment. The same deployment and seed give the same rows.
 *
 * <p>Loads are shares of the capacity, which is measured first: the requests finished a second by
 * the oracle when more arrive than the engines can serve and every full block of every prompt is
 * cached.
 */
public final class PolicyMeasurement {

    /** Arrivals in the calibration, as requests a second and place in an engine's batch. */
    private static final double CALIBRATION_RATE = 0.6;

    private static final double EVENT_LOSS = 0.001;
    private static final double EVENT_LOSS_SCENARIO = 0.2;

    private final Deployment deployment;
    private final long seed;

    /** Creates a measurement. */
    public PolicyMeasurement(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.seed = seed;
    }

    /** Returns the rows of all policies in all scenarios. */
    public List<MeasurementRow> measure() {
        return measure(EnumSet.allOf(Scenario.class), EnumSet.allOf(PolicyKind.class));
    }

    /** Returns the rows of the given policies in the given scenarios. */
    public List<MeasurementRow> measure(
            Collection<Scenario> scenarios, Collection<PolicyKind> policies) {
        double capacity = capacity();
        List<MeasurementRow> rows = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            Map<PolicyKind, RunResult> results = new EnumMap<>(PolicyKind.class);
            EnumSet<PolicyKind> run = EnumSet.copyOf(policies);
            run.add(PolicyKind.ORACLE);
            for (PolicyKind policy : run) {
                results.put(policy, run(scenario, policy, capacity));
            }
            RunResult oracle = results.get(PolicyKind.ORACLE);
            for (PolicyKind policy : policies) {
                rows.add(row(policy, scenario, results.get(policy), oracle));
            }
        }
        return rows;
    }

    /** Returns the measured capacity in requests a second. */
    public double capacity() {
        double rate = CALIBRATION_RATE * deployment.engines() * deployment.engine().streams();
        RunSettings settings =
                new RunSettings(
                        deployment, Scenario.STEADY, PolicyKind.ORACLE, seed, rate, true, 0);
        return new Run(settings).execute().answeredPerSecond();
    }

    private RunResult run(Scenario scenario, PolicyKind policy, double capacity) {
        double loss = scenario == Scenario.EVENT_LOSS ? EVENT_LOSS_SCENARIO : EVENT_LOSS;
        double rate = scenario.load() * capacity;
        return new Run(new RunSettings(deployment, scenario, policy, seed, rate, false, loss))
                .execute();
    }

    private MeasurementRow row(
            PolicyKind policy, Scenario scenario, RunResult result, RunResult oracle) {
        return new MeasurementRow(
                policy.label(),
                scenario.label(),
                result.hitRate(),
                result.p50(),
                result.p95(),
                result.p99(),
                result.wastedTokens(),
                result.refused(),
                result.offered(),
                deployment.score().of(result, oracle));
    }
}
