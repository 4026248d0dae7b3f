package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;

/**
 * Lets "not run" pass only if it is true.
 *
 * <p>A request whose identifier was created well before it arrived here may be a repeat of one that
 * another daemon is running. Claims tell for non-idempotent requests as long as the view of the log
 * is current. In all other cases "not run" becomes "unknown".
 */
public final class RepeatAwareOutcomeGuard implements OutcomeGuard {

    /** Age from which an identifier may belong to a repeat; allows for clock skew and transit. */
    static final Duration REPEAT_AGE = Duration.ofSeconds(2);

    private final InvariantMonitor monitor;
    private final BooleanSupplier claimsCurrent;

    /**
     * Creates a guard.
     *
     * @param claimsCurrent whether all claims up to the last seconds are known here
     */
    public RepeatAwareOutcomeGuard(InvariantMonitor monitor, BooleanSupplier claimsCurrent) {
        this.monitor = monitor;
        this.claimsCurrent = claimsCurrent;
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

    private boolean mayBeRepeat(RequestExchange exchange) {
        Duration age = Duration.between(exchange.id().creationTime(), exchange.arrivedAt());
        if (age.compareTo(REPEAT_AGE) < 0) {
            return false;
        }
        return exchange.idempotent() || !claimsCurrent.getAsBoolean();
    }
}
