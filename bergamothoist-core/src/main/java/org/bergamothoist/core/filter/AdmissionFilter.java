package org.bergamothoist.core.filter;

import java.time.Duration;
import java.util.function.Predicate;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionHandler;
import org.bergamothoist.core.limit.AdmissionRequest;
import org.bergamothoist.core.limit.AdmissionTicket;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;

/** Holds completions back until limits, fairness and the engines' room let them pass. */
public final class AdmissionFilter implements RequestFilter<CompletionExchange> {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AdmissionController admission;
    private final Predicate<CompletionExchange> engineHasRoom;

    /**
     * Creates a filter.
     *
     * @param engineHasRoom whether an engine would take the completion now
     */
    public AdmissionFilter(
            AdmissionController admission, Predicate<CompletionExchange> engineHasRoom) {
        this.admission = admission;
        this.engineHasRoom = engineHasRoom;
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        if (exchange.resuming()) {
            // The engine runs it already; holding it back would free nothing.
            proceed.run();
            return;
        }
        AdmissionTicket ticket =
                admission.submit(
                        new AdmissionRequest(
                                exchange.organisationId(),
                                exchange.modelKey(),
                                exchange.priority(),
                                (long) exchange.estimatedTokens()
                                        + exchange.submission().maximumTokens(),
                                exchange.deadline()),
                        new Handler(exchange, proceed));
        if (exchange.finished()) {
            ticket.close();
            return;
        }
        exchange.onFinish(outcome -> ticket.close());
    }

    private final class Handler implements AdmissionHandler {

        private final CompletionExchange exchange;
        private final Runnable proceed;

        Handler(CompletionExchange exchange, Runnable proceed) {
            this.exchange = exchange;
            this.proceed = proceed;
        }

        @Override
        public boolean tryDispatch() {
            if (!exchange.finished() && !engineHasRoom.test(exchange)) {
                return false;
            }
            proceed.run();
            return true;
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            exchange.finish(new Outcome.NotRun(code, message, RETRY_AFTER));
        }
    }
}
