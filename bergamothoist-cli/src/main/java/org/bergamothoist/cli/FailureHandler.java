package org.bergamothoist.cli;

import org.bergamothoist.core.error.BergamothoistException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Prints the message of a failed command instead of a stack trace. */
final class FailureHandler implements IExecutionExceptionHandler {

    @Override
    public int handleExecutionException(
            Exception exception, CommandLine command, ParseResult arguments) throws Exception {
        if (!(exception instanceof BergamothoistException known)) {
            throw exception;
        }
        command.getErr().println(known.code() + ": " + known.getMessage());
        return ExitCodes.UNAVAILABLE;
    }
}
