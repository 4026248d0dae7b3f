package org.bergamothoist.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.SheetDifference;
import org.bergamothoist.daemon.operator.SheetFaultsException;
import org.bergamothoist.daemon.operator.SheetParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows what a sheet would change, and where another office was faster. */
@Command(
        name = "difference",
        mixinStandardHelpOptions = true,
        description = "Shows what a sheet would change, without submitting it.")
final class SheetDifferenceCommand implements Callable<Integer> {

    private final SheetParser parser;

    @Spec private CommandSpec spec;

    @Mixin private DaemonOptions daemon;

    @Option(names = "--json", description = "print the difference as JSON")
    private boolean json;

    @Parameters(paramLabel = "SHEET", description = "CSV file to compare with the current state")
    private Path sheet;

    SheetDifferenceCommand(SheetParser parser) {
        this.parser = parser;
    }

    @Override
    public Integer call() {
        List<OrganisationEntry> entries;
        try {
            entries = parser.parse(SheetFiles.read(sheet));
        } catch (SheetFaultsException exception) {
            exception.faults().forEach(fault -> spec.commandLine().getErr().println(fault));
            return ExitCodes.REFUSED;
        }
        SheetDifference difference = SheetComparison.compare(entries, daemon.client(), parser);
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(difference);
        } else {
            output.text(difference.text());
        }
        boolean conflict =
                difference.organisations().stream()
                        .anyMatch(SheetDifference.OrganisationDifference::isConflict);
        return conflict ? ExitCodes.REFUSED : ExitCodes.SUCCESS;
    }
}
