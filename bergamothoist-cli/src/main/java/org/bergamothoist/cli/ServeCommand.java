package org.bergamothoist.cli;

import com.google.inject.Module;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.daemon.settings.SettingsException;
import org.bergamothoist.daemon.settings.SettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a daemon until the process is asked to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs a daemon. SIGTERM starts a planned stop, which cuts no request; the process"
                        + " exits when it is complete.")
final class ServeCommand implements Callable<Integer> {

    private final Supplier<Module> parts;
    private final Map<String, String> environment;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "SETTINGS", description = "settings file of the daemon")
    private Path settings;

    ServeCommand(Supplier<Module> parts, Map<String, String> environment) {
        this.parts = parts;
        this.environment = environment;
    }

    @Override
    public Integer call() throws InterruptedException {
        DaemonInstance daemon;
        try {
            daemon =
                    DaemonInstance.start(
                            new SettingsLoader(environment::get).load(settings), parts.get());
        } catch (SettingsException exception) {
            exception.faults().forEach(fault -> spec.commandLine().getErr().println(fault));
            return ExitCodes.REFUSED;
        }
        stopOnTermination(daemon);
        spec.commandLine()
                .getOut()
                .println("callers connect to " + daemon.settings().callerAddress());
        new CountDownLatch(1).await();
        return ExitCodes.SUCCESS;
    }

    /**
     * Ends the process with success after a planned stop; the virtual machine would otherwise
     * report the signal as its exit code.
     */
    private static void stopOnTermination(DaemonInstance daemon) {
        Thread stop =
                new Thread(
                        () -> {
                            daemon.stop().toCompletableFuture().join();
                            LogManager.shutdown();
                            Runtime.getRuntime().halt(ExitCodes.SUCCESS);
                        },
                        "termination");
        Runtime.getRuntime().addShutdownHook(stop);
    }
}
