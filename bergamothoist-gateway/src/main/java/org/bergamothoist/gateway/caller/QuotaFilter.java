package org.bergamothoist.gateway.caller;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quota.OrganisationQuotas;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Quota;
import org.bergamothoist.gateway.GatewaySettings;
import org.bergamothoist.gateway.state.CallerDaemons;
import org.bergamothoist.gateway.state.ClusterView;

/** Refuses requests beyond the quota of their organisation. Confined to the event loop. */
public final class QuotaFilter implements PreDispatchFilter {

    private static final int TOO_MANY_REQUESTS = 429;

    private final OrganisationQuotas quotas;

    /** Creates a filter by the given quotas. */
    public QuotaFilter(OrganisationQuotas quotas) {
        this.quotas = quotas;
    }

    /** Creates the quotas of a daemon, which learn of the others by their reports. */
    public static OrganisationQuotas createQuotas(
            GatewaySettings settings,
            ClusterView clusterView,
            CallerDaemons callerDaemons,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics,
            DecisionLog log) {
        OrganisationQuotas quotas =
                new OrganisationQuotas(
                        settings.daemon(),
                        settings.quotaBounds(),
                        clusterView.configuration()::limitedOrganisations,
                        callerDaemons,
                        clock,
                        random,
                        metrics,
                        log);
        clusterView.daemons().addListener(quotas::onReport);
        return quotas;
    }

    @Override
    public Optional<ErrorResponse> check(RequestContext request) {
        Optional<Quota> quota = request.organisation().flatMap(Organisation::quota);
        if (quota.isEmpty()) {
            return Optional.empty();
        }
        OrganisationQuotas.Decision decision =
                quotas.decide(
                        request.organisation().get().name(),
                        quota.get(),
                        quota.get().unitsOf(request.head().tokens()));
        request.setQuotaCharge(decision.charge());
        return decision.retryAfter().map(QuotaFilter::refusal);
    }

    private static ErrorResponse refusal(Duration retryAfter) {
        return new ErrorResponse(
                TOO_MANY_REQUESTS,
                ErrorCode.LIMIT_EXCEEDED,
                "the organisation's quota is used up",
                Optional.of(retryAfter));
    }
}
