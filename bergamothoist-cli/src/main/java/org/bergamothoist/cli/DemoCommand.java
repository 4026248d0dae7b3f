package org.bergamothoist.cli;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.bergamothoist.cli.demo.Demonstration;
import org.bergamothoist.cli.demo.DemonstrationResult;
import org.bergamothoist.cli.demo.DemonstrationResult.BrokenPromise;
import org.bergamothoist.cli.demo.ExampleDeployment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows a deployment under load and failures in one process. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs a deployment in one process: 6 daemons over stand-ins of engines, services"
                        + " and platform, under load and failures; checks every answer.")
final class DemoCommand implements Callable<Integer> {

    /** A shorter run would not leave the time that a planned stop takes. */
    private static final int LEAST_SECONDS = 20;

    @Spec private CommandSpec spec;

    @Mixin private DeploymentOption deployment;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the requests, default ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--duration",
            paramLabel = "SECONDS",
            defaultValue = "25",
            description = "time under load, at least 20, default ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--json", description = "print the figures as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seconds < LEAST_SECONDS) {
            throw new picocli.CommandLine.ParameterException(
                    spec.commandLine(), "--duration must be at least " + LEAST_SECONDS);
        }
        Configurator.setRootLevel(Level.ERROR);
        PrintWriter errors = spec.commandLine().getErr();
        long begin = System.nanoTime();
        DemonstrationResult result =
                new Demonstration(
                                ExampleDeployment.load(deployment.deployment()),
                                seed,
                                Duration.ofSeconds(seconds),
                                line ->
                                        errors.printf(
                                                Locale.ROOT, "%5.1f s  %s%n", since(begin), line))
                        .run();
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(result);
        } else {
            print(result, output);
        }
        return result.brokenPromises().isEmpty() ? ExitCodes.SUCCESS : ExitCodes.REFUSED;
    }

    private static double since(long begin) {
        return (System.nanoTime() - begin) / 1e9;
    }

    private static void print(DemonstrationResult result, Output output) {
        output.line("deployment " + result.deployment() + ", seed " + result.seed());
        output.line("requests                 " + result.requests());
        output.line(format("prefix hit rate          %.1f %%", result.hitRate() * 100));
        output.line(
                format(
                        "time to first token      median %.1f ms, 95th %.1f ms, 99th %.1f ms",
                        result.timeToFirstToken().p50(),
                        result.timeToFirstToken().p95(),
                        result.timeToFirstToken().p99()));
        output.line("wasted tokens            " + result.wastedTokens());
        output.line("outcomes                 " + result.outcomes());
        output.line("codes                    " + result.codes());
        output.line("resumed streams          " + result.resumedStreams());
        output.line("sheet in force after     " + result.sheetInForceMilliseconds() + " ms");
        output.line("restart to first answer  " + result.restartMilliseconds() + " ms");
        output.line("broken promises          " + result.brokenPromises().size());
        result.brokenPromises().forEach(promise -> print(promise, output));
    }

    private static void print(BrokenPromise promise, Output output) {
        output.line(promise.promise() + " " + promise.subject() + ": " + promise.detail());
        promise.events().forEach(event -> output.line("    " + event));
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
