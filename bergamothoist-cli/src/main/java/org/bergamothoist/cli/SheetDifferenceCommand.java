package org.bergamothoist.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationEntry;
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
        List<Difference> differences =
                differences(entries, parser.parse(daemon.client().csv("/operator/sheets/current")));
        print(differences);
        boolean conflict =
                differences.stream().anyMatch(difference -> difference.kind() == Kind.CONFLICT);
        return conflict ? ExitCodes.REFUSED : ExitCodes.SUCCESS;
    }

    private void print(List<Difference> differences) {
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(Map.of("differences", differences));
        } else if (differences.isEmpty()) {
            output.line("sheet changes nothing");
        } else {
            differences.forEach(output::line);
        }
    }

    /** Compares a sheet with the current organisations, whose base versions are their versions. */
    static List<Difference> differences(
            List<OrganisationEntry> sheet, List<OrganisationEntry> current) {
        Map<OrganisationId, OrganisationEntry> known = new TreeMap<>();
        current.forEach(entry -> known.put(entry.organisation(), entry));
        List<Difference> differences = new ArrayList<>();
        for (OrganisationEntry entry : sheet) {
            OrganisationEntry before = known.get(entry.organisation());
            if (before != null && before.sameContent(entry)) {
                continue;
            }
            long version = before == null ? 0 : before.baseVersion();
            Kind kind = before == null ? Kind.ADDED : Kind.CHANGED;
            differences.add(
                    new Difference(
                            entry.organisation(),
                            entry.baseVersion() == version ? kind : Kind.CONFLICT,
                            entry.baseVersion(),
                            version));
        }
        return differences;
    }

    /** What would happen to an organisation. */
    enum Kind {
        /** It would be new. */
        ADDED,
        /** Its content would change. */
        CHANGED,
        /** It has changed since the sheet was made, so that the sheet would be refused. */
        CONFLICT
    }

    /** A difference of one organisation. */
    record Difference(
            OrganisationId organisation, Kind kind, long baseVersion, long currentVersion) {

        @Override
        public String toString() {
            return switch (kind) {
                case ADDED -> organisation + ": added";
                case CHANGED -> organisation + ": changed";
                case CONFLICT ->
                        "%s: conflict, sheet was made from version %d, current version is %d"
                                .formatted(organisation, baseVersion, currentVersion);
            };
        }
    }
}
