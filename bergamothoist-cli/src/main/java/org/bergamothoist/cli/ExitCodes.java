package org.bergamothoist.cli;

/** Exit codes, as docs/command-line.md documents them. */
public final class ExitCodes {

    /** The command did what it was asked for. */
    public static final int SUCCESS = 0;

    /** The input has faults, or the system refused it. */
    public static final int REFUSED = 1;

    /** The command line itself is wrong; set by picocli. */
    public static final int USAGE = 2;

    /** A daemon cannot be started or reached, or it failed. */
    public static final int UNAVAILABLE = 3;

    /** The sheet is recorded, but some daemons may still serve under the previous one. */
    public static final int NOT_YET_IN_FORCE = 4;

    private ExitCodes() {}
}
