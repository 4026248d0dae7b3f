package org.bergamothoist.core.filter;

import java.util.function.Function;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.RequestFilter;

/** Refuses requests whose content is quarantined because targets crashed while running it. */
public final class QuarantineFilter<E extends RequestExchange> implements RequestFilter<E> {

    private final QuarantineController quarantine;
    private final Function<E, Fingerprint> fingerprint;

    /**
     * Creates a filter.
     *
     * @param fingerprint returns the fingerprint of a request's content
     */
    public QuarantineFilter(QuarantineController quarantine, Function<E, Fingerprint> fingerprint) {
        this.quarantine = quarantine;
        this.fingerprint = fingerprint;
    }

    @Override
    public void apply(E exchange, Runnable proceed) {
        Fingerprint content = fingerprint.apply(exchange);
        if (quarantine.isQuarantined(content)) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.REQUEST_QUARANTINED,
                            "targets were lost while running requests with this content;"
                                    + " fingerprint "
                                    + content));
            return;
        }
        proceed.run();
    }
}
