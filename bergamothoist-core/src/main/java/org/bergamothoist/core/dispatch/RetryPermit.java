package org.bergamothoist.core.dispatch;

/** Grants retries within a budget, so that they cannot multiply an overload. */
@FunctionalInterface
public interface RetryPermit {

    /** Takes one retry from the budget; returns false if it is exhausted. */
    boolean tryAcquire();
}
