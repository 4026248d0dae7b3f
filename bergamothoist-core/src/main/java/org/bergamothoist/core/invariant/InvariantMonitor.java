package org.bergamothoist.core.invariant;

import java.util.function.Supplier;

/** Checks guarantees at run time. */
@FunctionalInterface
public interface InvariantMonitor {

    /**
     * Counts and records a violation if the condition does not hold.
     *
     * @param holds whether the guarantee holds
     * @param detail describes the violation; evaluated only if there is one
     */
    void check(Guarantee guarantee, boolean holds, Supplier<String> detail);
}
