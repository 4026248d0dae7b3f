package org.bergamothoist.core.request;

import java.time.Duration;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;

/**
 * Replaces {@link Outcome.NotRun} by {@link Outcome.Unknown} if the request may have run or may
 * still run.
 *
 * <p>A request whose identifier was created well before it arrived may be a retry of one that
 * another daemon has run, is running or still has in its queue. A resumption always is. Claims do
 * not help to tell: a queued earlier attempt of a non-idempotent request acquires its claim only
 * when it is dispatched.
 */
public final class RetryAwareOutcomeGuard implements OutcomeGuard {

    /** Identifiers at least this old may belong to a retry; covers clock skew and transit time. */
    static final Duration MINIMUM_RETRY_AGE = Duration.ofSeconds(2);

    private final InvariantMonitor monitor;

    /** Creates a guard that reports violations to the monitor. */
    public RetryAwareOutcomeGuard(InvariantMonitor monitor) {
        this.monitor = monitor;
    }

    @Override
    public void beforeAttempt(RequestExchange exchange) {
        monitor.check(
                Guarantee.AT_MOST_ONCE,
                exchange.idempotent() || exchange.claimed() && !exchange.mayHaveRun(),
                () -> "non-idempotent request " + exchange.id() + " is sent again or unclaimed");
    }

    @Override
    public Outcome check(RequestExchange exchange, Outcome proposed) {
        if (!(proposed instanceof Outcome.NotRun notRun)) {
            return proposed;
        }
        monitor.check(
                Guarantee.NOT_RUN_TRUTH,
                !exchange.mayHaveRun(),
                () -> "request " + exchange.id() + " was sent but refused with " + notRun.code());
        if (exchange.mayHaveRun() || mayBeRetry(exchange)) {
            return new Outcome.Unknown(notRun.code(), notRun.message());
        }
        return notRun;
    }

    private static boolean mayBeRetry(RequestExchange exchange) {
        Duration age = Duration.between(exchange.id().creationTime(), exchange.arrivedAt());
        return exchange.resuming() || age.compareTo(MINIMUM_RETRY_AGE) >= 0;
    }
}
