package org.bergamothoist.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.bergamothoist.measure.check.CheckReport;
import org.bergamothoist.measure.check.ProgressListener;
import org.bergamothoist.measure.check.Violation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the decision code of several daemons under random faults. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Runs the decision code of several daemons under random faults on a virtual clock"
                        + " and checks the guarantees. The same seed gives the same runs.")
final class CheckCommand implements Callable<Integer> {

    private static final int RUNS_PER_LINE = 100;

    private final Runner runner;

    @Spec private CommandSpec spec;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description =
                    "seed of the first run; each further run has the next, default"
                            + " ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "100",
            description = "number of runs, default ${DEFAULT-VALUE}")
    private int runs;

    @Option(names = "--json", description = "print the report as JSON")
    private boolean json;

    /** Executes randomised runs. */
    @FunctionalInterface
    interface Runner {

        /** Executes runs from a seed on. */
        CheckReport run(long seed, int runs, ProgressListener listener);
    }

    CheckCommand(Runner runner) {
        this.runner = runner;
    }

    @Override
    public Integer call() {
        if (runs < 1) {
            throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
        }
        PrintWriter errors = spec.commandLine().getErr();
        CheckReport report =
                runner.run(
                        seed,
                        runs,
                        (completed, violations) -> {
                            if (completed % RUNS_PER_LINE == 0) {
                                errors.printf(
                                        "%d of %d runs, %d violations%n",
                                        completed, runs, violations);
                            }
                        });
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(report);
        } else {
            report.violations().forEach(violation -> print(violation, output));
            report.counts().forEach((name, count) -> output.line(name + " " + count));
            output.line(
                    "%d runs from seed %d, %d steps, digest %s: %d violations"
                            .formatted(
                                    report.runs(),
                                    report.seed(),
                                    report.steps(),
                                    report.digest(),
                                    report.violations().size()));
        }
        return report.violations().isEmpty() ? ExitCodes.SUCCESS : ExitCodes.REFUSED;
    }

    private static void print(Violation violation, Output output) {
        output.line(
                "%s is violated, seed %d, after %s: %s"
                        .formatted(
                                violation.property(),
                                violation.seed(),
                                violation.at(),
                                violation.detail()));
        violation.trace().forEach(line -> output.line("    " + line));
    }
}
