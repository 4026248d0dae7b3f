package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;

/** Finds out whether the process of a target still runs. */
@FunctionalInterface
public interface TargetProbe {

    /**
     * Returns whether a process listens at the target's address. True if that cannot be found out
     * in time, since a cut link and a process that stands still look alike.
     */
    CompletionStage<Boolean> isListening(Target target);
}
