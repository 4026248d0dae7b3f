package org.bergamothoist.core.filter;

import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionHandler;
import org.bergamothoist.core.limit.AdmissionRequest;
import org.bergamothoist.core.limit.AdmissionTicket;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.request.ServiceExchange;

/** Applies the limits of organisations to calls of plain services. */
public final class ServiceLimitFilter implements RequestFilter<ServiceExchange> {

    private final AdmissionController admission;

    /**
     * Creates a filter.
     *
     * @param admission admission controller of the plain services, separate from that of
     *     completions
     */
    public ServiceLimitFilter(AdmissionController admission) {
        this.admission = admission;
    }

    @Override
    public void apply(ServiceExchange exchange, Runnable proceed) {
        ModelKey queueKey = new ModelKey(exchange.submission().service(), ModelKey.NO_ADAPTER, "0");
        AdmissionTicket ticket =
                admission.submit(
                        new AdmissionRequest(
                                exchange.organisationId(),
                                queueKey,
                                exchange.priority(),
                                exchange.estimatedTokens(),
                                Optional.empty()),
                        new DispatchHandler(exchange, proceed));
        if (exchange.finished()) {
            ticket.close();
            return;
        }
        exchange.onFinish(outcome -> ticket.close());
    }

    private record DispatchHandler(ServiceExchange exchange, Runnable proceed)
            implements AdmissionHandler {

        @Override
        public boolean tryDispatch() {
            proceed.run();
            return true;
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            exchange.finish(Outcome.notRun(code, message));
        }
    }
}
