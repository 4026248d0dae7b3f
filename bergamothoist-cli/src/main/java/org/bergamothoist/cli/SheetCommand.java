package org.bergamothoist.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Groups the commands on sheets. */
@Command(
        name = "sheet",
        mixinStandardHelpOptions = true,
        description = "Checks, submits and shows the operators' sheets.",
        subcommands = {
            SheetCheckCommand.class,
            SheetSubmitCommand.class,
            SheetStatusCommand.class,
            SheetShowCommand.class,
            SheetDifferenceCommand.class
        })
final class SheetCommand implements Runnable {

    @Spec private CommandSpec spec;

    /** Reports that no command was given. */
    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command on sheets is required");
    }
}
