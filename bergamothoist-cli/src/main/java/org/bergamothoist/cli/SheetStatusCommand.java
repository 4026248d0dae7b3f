package org.bergamothoist.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows verdict and reach of a submitted sheet. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows whether a submitted sheet was accepted and is in force.")
final class SheetStatusCommand implements Callable<Integer> {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    @Spec private CommandSpec spec;

    @Mixin private DaemonOptions daemon;

    @Option(names = "--json", description = "print the answer as JSON")
    private boolean json;

    @Parameters(paramLabel = "DIGEST", description = "digest that 'sheet submit' printed")
    private String digest;

    @Override
    public Integer call() {
        DaemonClient.Answer answer = daemon.client().get("/operator/sheets/" + digest);
        Output output = new Output(spec.commandLine().getOut());
        if (answer.status() == NOT_FOUND) {
            spec.commandLine().getErr().println("no sheet with digest " + digest + " is known");
            return ExitCodes.REFUSED;
        }
        return SheetAnswers.print(answer.require(OK).json(), output, json);
    }
}
