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

/** Queues completions until rate limits, fair sharing and engine capacity admit them. */
public final class AdmissionFilter implements RequestFilter<CompletionExchange> {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final AdmissionController admission;
    private final Predicate<CompletionExchange> engineHasCapacity;

    /**
     * Creates a filter.
     *
     * @param engineHasCapacity tests whether an engine can take the completion now
     */
    public AdmissionFilter(
            AdmissionController admission, Predicate<CompletionExchange> engineHasCapacity) {
        this.admission = admission;
        this.engineHasCapacity = engineHasCapacity;
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        if (exchange.resuming()) {
            // An engine is already running the stream, so queueing it would free no capacity.
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
                        new DispatchHandler(exchange, proceed));
        if (exchange.finished()) {
            ticket.close();
            return;
        }
        exchange.onFinish(outcome -> ticket.close());
    }

    private final class DispatchHandler implements AdmissionHandler {

        private final CompletionExchange exchange;
        private final Runnable proceed;

        DispatchHandler(CompletionExchange exchange, Runnable proceed) {
            this.exchange = exchange;
            this.proceed = proceed;
        }

        @Override
        public boolean tryDispatch() {
            if (!exchange.finished() && !engineHasCapacity.test(exchange)) {
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
