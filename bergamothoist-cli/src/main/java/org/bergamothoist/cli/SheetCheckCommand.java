package org.bergamothoist.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.bergamothoist.daemon.operator.SheetFault;
import org.bergamothoist.daemon.operator.SheetFaultsException;
import org.bergamothoist.daemon.operator.SheetParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a sheet without a daemon and prints every fault. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a sheet and prints every fault with row, column and reason.")
final class SheetCheckCommand implements Callable<Integer> {

    private final SheetParser parser;

    @Spec private CommandSpec spec;

    @Option(names = "--json", description = "print the faults as JSON")
    private boolean json;

    @Parameters(paramLabel = "SHEET", description = "CSV file to check")
    private Path sheet;

    SheetCheckCommand(SheetParser parser) {
        this.parser = parser;
    }

    @Override
    public Integer call() {
        List<SheetFault> faults = faults(SheetFiles.read(sheet));
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(Map.of("faults", faults));
        } else if (faults.isEmpty()) {
            output.line("sheet is correct");
        } else {
            faults.forEach(output::line);
        }
        return faults.isEmpty() ? ExitCodes.SUCCESS : ExitCodes.REFUSED;
    }

    private List<SheetFault> faults(String csv) {
        try {
            parser.parse(csv);
            return List.of();
        } catch (SheetFaultsException exception) {
            return exception.faults();
        }
    }
}
