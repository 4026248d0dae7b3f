package org.bergamothoist.core.dispatch;

/** Grants retries within a budget, so that retries cannot amplify an overload. */
@FunctionalInterface
public interface RetryPermit {

    /** Takes one retry from the budget; returns false if it is exhausted. */
    boolean tryAcquire();
}
