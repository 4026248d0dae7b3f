package org.bergamothoist.measure;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the rows of a measurement as a table: {@code <deployment> <seed>}. */
public final class PolicyMeasurementMain {

    private static final String HEADER = "%-16s %-20s %8s %8s %8s %8s %12s %8s %8s %7s%n";
    private static final String ROW = "%-16s %-20s %8.4f %8d %8d %8d %12d %8d %8d %7.3f%n";

    private PolicyMeasurementMain() {}

    /** Runs the measurement of a deployment, {@code brunner} or {@code al-harthy}, and a seed. */
    public static void main(String[] arguments) {
        if (arguments.length != 2) {
            System.err.println("usage: <brunner|al-harthy> <seed>");
            System.exit(2);
        }
        Deployment deployment = Deployment.named(arguments[0]);
        print(new PolicyMeasurement(deployment, Long.parseLong(arguments[1])), System.out);
    }

    private static void print(PolicyMeasurement measurement, PrintStream output) {
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
        for (MeasurementRow row : measurement.measure()) {
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
