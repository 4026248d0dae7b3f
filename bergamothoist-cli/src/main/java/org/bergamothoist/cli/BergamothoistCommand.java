package org.bergamothoist.cli;

import com.google.inject.Module;
import java.io.PrintWriter;
import java.util.Map;
import java.util.function.Supplier;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.SheetModule;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IFactory;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The bergamothoist command line. */
@Command(
        name = "bergamothoist",
        mixinStandardHelpOptions = true,
        version = "bergamothoist 0.1.0",
        description = "Routes language-model requests with long shared prompts.",
        subcommands = {
            MeasureCapacityCommand.class,
            ServeCommand.class,
            CheckSettingsCommand.class,
            CheckGatewaySettingsCommand.class,
            ExplainCommand.class,
            SheetCommand.class,
            StatusCommand.class,
            TimelineCommand.class,
            DemoCommand.class,
            MeasureCommand.class,
            CheckCommand.class,
            SoakCommand.class,
            StandInCommand.class
        })
public final class BergamothoistCommand implements Runnable {

    @Spec private CommandSpec spec;

    private BergamothoistCommand() {}

    /** Runs the command named by the arguments and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(
                commandLine(ProductionModule::new, new SheetModule(), System.getenv())
                        .execute(arguments));
    }

    /**
     * Creates the command line.
     *
     * @param parts supplies the parts of daemons that {@code serve} starts
     * @param sheetParts binds what reads sheets without a daemon
     * @param environment environment variables
     */
    public static CommandLine commandLine(
            Supplier<Module> parts, Module sheetParts, Map<String, String> environment) {
        IFactory factory = new CommandFactory(parts, sheetParts, environment);
        return new CommandLine(new BergamothoistCommand(), factory)
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(new PrintWriter(System.out, true))
                .setErr(new PrintWriter(System.err, true))
                .setExecutionExceptionHandler(new FailureHandler());
    }

    /** Reports that no command was given. */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is required");
    }
}
