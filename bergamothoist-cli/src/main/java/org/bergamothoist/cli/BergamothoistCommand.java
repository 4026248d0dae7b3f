package org.bergamothoist.cli;

/** Runs the bergamothoist command line. */
public final class BergamothoistCommand {

    private BergamothoistCommand() {}

    /** Runs the command named by the arguments. */
    public static void main(String[] arguments) {
        System.out.println(arguments.length);
    }
}
