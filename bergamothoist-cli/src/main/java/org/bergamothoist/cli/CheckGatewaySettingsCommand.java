package org.bergamothoist.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.GatewaySettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a gateway's settings file as the daemon does at its start. */
@Command(
        name = "check-gateway-settings",
        mixinStandardHelpOptions = true,
        description = "Checks a gateway's settings file and prints every fault with its key.")
final class CheckGatewaySettingsCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "SETTINGS", description = "settings file to check")
    private Path settings;

    @Override
    public Integer call() {
        try {
            GatewaySettings.read(settings);
        } catch (GatewayException exception) {
            spec.commandLine().getErr().println(exception.getMessage());
            return ExitCodes.REFUSED;
        }
        new Output(spec.commandLine().getOut()).line("settings are correct");
        return ExitCodes.SUCCESS;
    }
}
