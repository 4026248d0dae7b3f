package org.bergamothoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.daemon.operator.SheetParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Submits a sheet in the name of the operator that the key belongs to. */
@Command(
        name = "submit",
        mixinStandardHelpOptions = true,
        description = "Submits a sheet. Submitting the same sheet again is harmless.")
final class SheetSubmitCommand implements Callable<Integer> {

    private final SheetParser parser;

    private static final int INVALID = 400;

    @Spec private CommandSpec spec;

    @Mixin private DaemonOptions daemon;

    @Option(names = "--json", description = "print the answer as JSON")
    private boolean json;

    @Parameters(paramLabel = "SHEET", description = "CSV file to submit")
    private Path sheet;

    SheetSubmitCommand(SheetParser parser) {
        this.parser = parser;
    }

    @Override
    public Integer call() {
        DaemonClient.Answer answer =
                daemon.client().postCsv("/operator/sheets", SheetFiles.read(sheet));
        Output output = new Output(spec.commandLine().getOut());
        JsonNode body = answer.json();
        if (answer.status() == INVALID) {
            printFaults(body, output);
            return ExitCodes.REFUSED;
        }
        if (!body.has("reach")) {
            throw answer.unexpected();
        }
        int code = SheetAnswers.print(body, output, json);
        if (code == ExitCodes.REFUSED && !json) {
            printDifference(output);
        }
        return code;
    }

    /** The operator of one office must see what the other office changed. */
    private void printDifference(Output output) {
        try {
            List<OrganisationEntry> entries = parser.parse(SheetFiles.read(sheet));
            output.text(SheetComparison.compare(entries, daemon.client(), parser).text());
        } catch (BergamothoistException exception) {
            output.line("the difference cannot be shown now: " + exception.getMessage());
        }
    }

    private void printFaults(JsonNode body, Output output) {
        if (json) {
            output.json(body);
            return;
        }
        output.line(body.path("message").asText());
        for (JsonNode fault : body.path("faults")) {
            output.line(
                    "row %s, column %s: %s"
                            .formatted(
                                    fault.path("row").asText(),
                                    fault.path("column").asText(),
                                    fault.path("reason").asText()));
        }
    }
}
