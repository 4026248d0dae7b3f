package org.bergamothoist.core.membership;

/** Whether a target may be given work. */
public enum TargetState {
    /** It takes work. */
    LIVE,
    /** Connections to it failed; it is tried now and then. */
    SUSPECT,
    /** It finishes what it has and will stop. */
    LEAVING,
    /** The platform's list no longer names it, and nothing else shows that it runs. */
    GONE
}
