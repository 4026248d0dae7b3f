package org.bergamothoist.measure;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/** Prints the rows of a measurement as a table: {@code <deployment> <seed> [<policy>...]}. */
public final class PolicyMeasurementMain {

    private static final String HEADER = "%-16s %-20s %8s %8s %8s %8s %12s %8s %8s %7s%n";
    private static final String ROW = "%-16s %-20s %8.4f %8d %8d %8d %12d %8d %8d %7.3f%n";

    private PolicyMeasurementMain() {}

    /** Runs the measurement of a deployment, {@code brunner} or {@code al-harthy}, and a seed. */
    public static void main(String[] arguments) {
        if (arguments.length < 2) {
            System.err.println("usage: <brunner|al-harthy> <seed> [<policy>...]");
            System.exit(2);
        }
        PolicyMeasurement measurement =
                new PolicyMeasurement(Deployment.named(arguments[0]), Long.parseLong(arguments[1]));
        print(measurement, policies(arguments), System.out);
    }

    private static Set<PolicyKind> policies(String[] arguments) {
        Set<String> labels = Set.of(Arrays.copyOfRange(arguments, 2, arguments.length));
        return Arrays.stream(PolicyKind.values())
                .filter(policy -> labels.isEmpty() || labels.contains(policy.label()))
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(PolicyKind.class)));
    }

    private static void print(
            PolicyMeasurement measurement, Set<PolicyKind> policies, PrintStream output) {
        output.printf(
                HEADER,
                "policy",
                "scenario",
                "hit_rate",
                "ttft_p50",
                "ttft_p95",
                "ttft_p99",
                "wasted",
                "refused",
                "offered",
                "score");
        for (MeasurementRow row : measurement.measure(EnumSet.allOf(Scenario.class), policies)) {
            output.printf(
                    Locale.ROOT,
                    ROW,
                    row.policy(),
                    row.scenario(),
                    row.hitRate(),
                    row.ttftP50Milliseconds(),
                    row.ttftP95Milliseconds(),
                    row.ttftP99Milliseconds(),
                    row.wastedTokens(),
                    row.refused(),
                    row.offered(),
                    row.score());
        }
    }
}
