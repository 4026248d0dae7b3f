package org.bergamothoist.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.bergamothoist.daemon.settings.SettingsException;
import org.bergamothoist.daemon.settings.SettingsFault;
import org.bergamothoist.daemon.settings.SettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a settings file as {@code serve} does, and prints every fault. */
@Command(
        name = "check-settings",
        mixinStandardHelpOptions = true,
        description = "Checks a settings file and prints every fault with its key.")
final class CheckSettingsCommand implements Callable<Integer> {

    private final Map<String, String> environment;

    @Spec private CommandSpec spec;

    @Option(names = "--json", description = "print the faults as JSON")
    private boolean json;

    @Parameters(paramLabel = "SETTINGS", description = "settings file to check")
    private Path settings;

    CheckSettingsCommand(Map<String, String> environment) {
        this.environment = environment;
    }

    @Override
    public Integer call() {
        List<SettingsFault> faults = faults();
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(Map.of("faults", faults));
        } else if (faults.isEmpty()) {
            output.line("settings are correct");
        } else {
            faults.forEach(output::line);
        }
        return faults.isEmpty() ? ExitCodes.SUCCESS : ExitCodes.REFUSED;
    }

    private List<SettingsFault> faults() {
        try {
            new SettingsLoader(environment::get).load(settings);
            return List.of();
        } catch (SettingsException exception) {
            return exception.faults();
        }
    }
}
