package org.bergamothoist.core.request;

import java.time.Duration;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;

/**
 * Lets "not run" pass only if it is true.
 *
 * <p>A request whose identifier was created well before it arrived here may be a repeat of one that
 * another daemon runs, has run, or holds in a queue and will run; a resumption always is. For these
 * "not run" becomes "unknown". The claims of non-idempotent requests do not tell more: an earlier
 * sending that waits in a queue claims only when it is dispatched.
 */
public final class RepeatAwareOutcomeGuard implements OutcomeGuard {

    /** Age from which an identifier may belong to a repeat; allows for clock skew and transit. */
    static final Duration REPEAT_AGE = Duration.ofSeconds(2);

    private final InvariantMonitor monitor;

    /** Creates a guard. */
    public RepeatAwareOutcomeGuard(InvariantMonitor monitor) {
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
        if (exchange.mayHaveRun() || mayBeRepeat(exchange)) {
            return new Outcome.Unknown(notRun.code(), notRun.message());
        }
        return notRun;
    }

    private static boolean mayBeRepeat(RequestExchange exchange) {
        Duration age = Duration.between(exchange.id().creationTime(), exchange.arrivedAt());
        return exchange.resuming() || age.compareTo(REPEAT_AGE) >= 0;
    }
}
