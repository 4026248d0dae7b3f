package org.bergamothoist.core.filter;

import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;

/** Refuses requests whose content is quarantined because engines crashed while running it. */
public final class QuarantineFilter implements RequestFilter<CompletionExchange> {

    private final QuarantineController quarantine;

    /** Creates a filter. */
    public QuarantineFilter(QuarantineController quarantine) {
        this.quarantine = quarantine;
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        if (quarantine.isQuarantined(exchange.fingerprint())) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.REQUEST_QUARANTINED,
                            "engines were lost while running requests with this content;"
                                    + " fingerprint "
                                    + exchange.fingerprint()));
            return;
        }
        proceed.run();
    }
}
