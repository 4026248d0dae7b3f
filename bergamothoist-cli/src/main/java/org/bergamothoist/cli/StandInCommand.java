package org.bergamothoist.cli;

import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.bergamothoist.cli.demo.ExampleDeployment;
import org.bergamothoist.cli.demo.ExampleSettings;
import org.bergamothoist.standin.EngineStandIn;
import org.bergamothoist.standin.PlainServiceStandIn;
import org.bergamothoist.standin.PlatformStandIn;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the outside systems of a deployment as stand-ins, to try daemons out. */
@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        description =
                "Runs stand-ins of a deployment's engines, services and platform on loopback until"
                    + " SIGTERM or SIGINT, and prints their URLs as JSON. For trying things out.")
final class StandInCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Mixin private DeploymentOption deployment;

    @Option(names = "--seed", defaultValue = "1", description = "seed, default ${DEFAULT-VALUE}")
    private long seed;

    @Option(
            names = "--settings",
            required = true,
            paramLabel = "DIRECTORY",
            description = "write settings files of daemons there, entry-1.json and so on")
    private Path directory;

    @Option(
            names = "--daemons",
            defaultValue = "6",
            description = "number of settings files, default ${DEFAULT-VALUE}")
    private int daemons;

    /** Where the stand-ins listen. */
    record Running(
            String log,
            String virtualMachineList,
            String weightStore,
            String cacheStore,
            String control,
            List<String> engines,
            List<String> services,
            List<String> settings) {}

    @Override
    public Integer call() throws Exception {
        ExampleDeployment example = ExampleDeployment.load(deployment.deployment());
        PlatformStandIn platform =
                PlatformStandIn.start(
                        example.sizes(), example.platform(seed), InstantSource.system());
        List<Path> files = new ExampleSettings(platform, example).write(directory, daemons);
        new Output(spec.commandLine().getOut())
                .json(
                        new Running(
                                url(platform.log().port()),
                                url(platform.machines().port()),
                                url(platform.weightStore().port()),
                                url(platform.cacheStore().port()),
                                url(platform.controlPort()),
                                platform.engines().stream()
                                        .map(EngineStandIn::port)
                                        .map(StandInCommand::url)
                                        .toList(),
                                platform.services().stream()
                                        .map(PlainServiceStandIn::port)
                                        .map(StandInCommand::url)
                                        .toList(),
                                files.stream().map(Path::toString).toList()));
        new CountDownLatch(1).await();
        return ExitCodes.SUCCESS;
    }

    private static String url(int port) {
        return "http://" + PlatformStandIn.HOST + ":" + port;
    }
}
