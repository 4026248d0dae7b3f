package org.bergamothoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.bergamothoist.cli.demo.ExampleDeployment;
import org.bergamothoist.cli.demo.RealPathMeasurement;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.measure.Deployment;
import org.bergamothoist.measure.MeasurementRow;
import org.bergamothoist.measure.PolicyMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares placement policies with an oracle on simulated engines. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Compares the placement policy with baselines and an oracle in all scenarios. The"
                        + " same deployment and seed give the same figures.")
final class MeasureCommand implements Callable<Integer> {

    private static final String HEADER = "%-16s %-20s %8s %8s %8s %8s %12s %8s";
    private static final String ROW = "%-16s %-20s %8.4f %8d %8d %8d %12d %8d";

    @Spec private CommandSpec spec;

    @Mixin private DeploymentOption deployment;

    @Option(names = "--seed", defaultValue = "1", description = "seed, default ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--json", description = "print the rows as a JSON array")
    private boolean json;

    @Option(names = "--report", paramLabel = "FILE", description = "write an HTML page with charts")
    private Path report;

    @Option(
            names = "--real-path",
            description =
                    "measure daemons over HTTP on loopback instead, against callers that reach the"
                            + " engines directly; prints JSON")
    private boolean realPath;

    @Override
    public Integer call() throws Exception {
        if (realPath) {
            return measureRealPath();
        }
        Deployment measured = Deployment.named(deployment.deployment().name());
        List<MeasurementRow> rows = new PolicyMeasurement(measured, seed).measure();
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(rows);
        } else {
            print(rows, output);
        }
        if (report != null) {
            write(MeasurementPage.of(measured.name(), seed, rows));
        }
        return ExitCodes.SUCCESS;
    }

    private int measureRealPath() throws Exception {
        Configurator.setRootLevel(Level.ERROR);
        ExampleDeployment example = ExampleDeployment.load(deployment.deployment());
        RealPathMeasurement measurement =
                new RealPathMeasurement(
                        example, seed, line -> spec.commandLine().getErr().println(line));
        new Output(spec.commandLine().getOut()).json(measurement.measure());
        return ExitCodes.SUCCESS;
    }

    private static void print(List<MeasurementRow> rows, Output output) {
        output.line(
                HEADER.formatted(
                        "policy",
                        "scenario",
                        "hit_rate",
                        "p50_ms",
                        "p95_ms",
                        "p99_ms",
                        "wasted",
                        "refused"));
        for (MeasurementRow row : rows) {
            output.line(
                    String.format(
                            Locale.ROOT,
                            ROW,
                            row.policy(),
                            row.scenario(),
                            row.hitRate(),
                            row.ttftP50Milliseconds(),
                            row.ttftP95Milliseconds(),
                            row.ttftP99Milliseconds(),
                            row.wastedTokens(),
                            row.refused()));
        }
    }

    private void write(String page) {
        try {
            Files.writeString(report, page);
        } catch (IOException exception) {
            throw new CommandException(
                    ErrorCode.INVALID_REQUEST, "cannot write " + report, exception);
        }
    }
}
