package org.bergamothoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.bergamothoist.platform.soak.GatewaySoak;
import org.bergamothoist.platform.soak.SoakSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Disturbs gateway processes and checks what callers and targets see. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Runs gateway daemons as processes on the loopback interface under random faults"
                    + " and content that crashes targets, and checks what callers and targets see."
                    + " Prints a line for each run.")
final class SoakCommand implements Callable<Integer> {

    private final Runner runner;

    @Spec private CommandSpec spec;

    @Option(
            names = "--gateway",
            defaultValue = "platform/target/bergamothoist-gateway.jar",
            description = "jar of the gateway, default ${DEFAULT-VALUE}")
    private Path gateway;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description =
                    "seed of the first run; each further run has the next, default"
                            + " ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            description = "number of runs, default ${DEFAULT-VALUE}")
    private int runs;

    @Option(
            names = "--daemons",
            defaultValue = "3",
            description = "number of gateway processes, 100 MB each, default ${DEFAULT-VALUE}")
    private int daemons;

    @Option(
            names = "--callers",
            defaultValue = "12",
            description =
                    "number of callers beside those of crashing content, default"
                            + " ${DEFAULT-VALUE}")
    private int callers;

    @Option(
            names = "--seconds",
            defaultValue = "6",
            description = "time in which faults begin, default ${DEFAULT-VALUE}")
    private long seconds;

    @Option(
            names = "--directory",
            defaultValue = "target/soak",
            description = "receives the settings and logs of the daemons, default ${DEFAULT-VALUE}")
    private Path directory;

    /** Performs one run of the soak. */
    @FunctionalInterface
    interface Runner {

        /** Performs a run; the daemons write to the directory. */
        GatewaySoak.Report run(SoakSettings settings, Path directory)
                throws IOException, InterruptedException;
    }

    SoakCommand(Runner runner) {
        this.runner = runner;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (runs < 1) {
            throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
        }
        if (!Files.isRegularFile(gateway)) {
            throw new ParameterException(spec.commandLine(), "--gateway: no file " + gateway);
        }
        boolean kept = true;
        for (long run = seed; run < seed + runs; run++) {
            GatewaySoak.Report report = runner.run(settings(run), directory);
            spec.commandLine().getOut().println(report);
            kept &= report.violations().isEmpty();
        }
        return kept ? ExitCodes.SUCCESS : ExitCodes.REFUSED;
    }

    private SoakSettings settings(long run) {
        try {
            return new SoakSettings(
                    run, daemons, callers, Duration.ofSeconds(seconds), gateway.toString());
        } catch (IllegalArgumentException exception) {
            throw new ParameterException(spec.commandLine(), exception.getMessage());
        }
    }
}
