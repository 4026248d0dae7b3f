package org.bergamothoist.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the organisations as the accepted sheets have them. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints the current organisations as CSV that can be edited and submitted.")
final class SheetShowCommand implements Callable<Integer> {

    private static final String PATH = "/operator/sheets/current";
    private static final int OK = 200;

    @Spec private CommandSpec spec;

    @Mixin private DaemonOptions daemon;

    @Option(names = "--json", description = "print JSON instead of CSV")
    private boolean json;

    @Override
    public Integer call() {
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(daemon.client().get(PATH).require(OK).json());
        } else {
            output.text(daemon.client().csv(PATH));
        }
        return ExitCodes.SUCCESS;
    }
}
