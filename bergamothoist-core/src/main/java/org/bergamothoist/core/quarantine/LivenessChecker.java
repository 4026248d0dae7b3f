package org.bergamothoist.core.quarantine;

import java.util.function.Consumer;
import org.bergamothoist.core.fleet.RegisteredTarget;

/** Finds out whether the process of a target lives on. */
@FunctionalInterface
public interface LivenessChecker {

    /** What is known of a process. */
    enum Result {
        /** It has answered since the check began. */
        ALIVE,
        /** It has closed its connections, or no longer listens. */
        ENDED,
        /** It has not answered in time, or another process may have answered in its place. */
        UNKNOWN
    }

    /** The check of one process. */
    @FunctionalInterface
    interface Check {

        /** Asks the process, and passes the result on once. */
        void complete(Consumer<Result> receiver);
    }

    /** Begins the check of the process that runs, or has run until this moment, as a target. */
    Check begin(RegisteredTarget target);
}
