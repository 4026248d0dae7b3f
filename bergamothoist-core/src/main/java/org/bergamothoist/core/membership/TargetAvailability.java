package org.bergamothoist.core.membership;

/** Whether a target accepts new work. */
public enum TargetAvailability {
    /** The target accepts work. */
    LIVE,
    /** Connections to the target failed; it is retried with exponential backoff. */
    SUSPECT,
    /** The target finishes its outstanding work and then stops; it gets no new work. */
    LEAVING,
    /** The target is missing from the platform's list, and no response shows that it runs. */
    GONE
}
