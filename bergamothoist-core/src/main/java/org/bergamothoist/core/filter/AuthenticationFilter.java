package org.bergamothoist.core.filter;

import java.util.Optional;
import java.util.function.Function;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.sheet.OrganisationState;

/** Authenticates the caller's organisation by the digest of the caller key. */
public final class AuthenticationFilter implements RequestFilter<RequestExchange> {

    private final Function<String, Optional<OrganisationState>> organisationByKeyDigest;

    /**
     * Creates a filter.
     *
     * @param organisationByKeyDigest looks up an organisation by the hexadecimal SHA-256 of its
     *     caller key
     */
    public AuthenticationFilter(
            Function<String, Optional<OrganisationState>> organisationByKeyDigest) {
        this.organisationByKeyDigest = organisationByKeyDigest;
    }

    @Override
    public void apply(RequestExchange exchange, Runnable proceed) {
        Optional<OrganisationState> organisation =
                organisationByKeyDigest.apply(
                        FingerprintCalculator.keyDigest(exchange.callerKey()));
        if (organisation.isEmpty()) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.UNAUTHENTICATED, "the caller key is missing or unknown"));
            return;
        }
        exchange.authenticatedAs(organisation.get());
        proceed.run();
    }
}
