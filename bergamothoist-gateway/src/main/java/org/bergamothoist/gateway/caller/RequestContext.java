package org.bergamothoist.gateway.caller;

import java.time.Instant;
import java.util.Optional;
import org.bergamothoist.core.quota.QuotaCharge;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.gateway.wire.RequestHead;

/**
 * A request and what the filters find out about it: the configuration, route and organisation are
 * set by the filters that resolve them.
 */
public final class RequestContext {

    private final RequestHead head;
    private final Instant arrivedAt;
    private final AnswerProgress progress;
    private RouteConfiguration configuration;
    private Route route;
    private Organisation organisation;
    private QuotaCharge quotaCharge = QuotaCharge.NONE;
    private StreamTiming streamTiming;

    /** Creates the context of a request that has just arrived. */
    RequestContext(RequestHead head, Instant arrivedAt, AnswerProgress progress) {
        this.head = head;
        this.arrivedAt = arrivedAt;
        this.progress = progress;
    }

    public RequestHead head() {
        return head;
    }

    public Instant arrivedAt() {
        return arrivedAt;
    }

    AnswerProgress progress() {
        return progress;
    }

    public RouteConfiguration configuration() {
        return configuration;
    }

    public Route route() {
        return route;
    }

    /** Returns the caller's organisation, or empty for callers without one. */
    public Optional<Organisation> organisation() {
        return Optional.ofNullable(organisation);
    }

    void setConfiguration(RouteConfiguration current) {
        configuration = current;
    }

    void setRoute(Route matched) {
        route = matched;
    }

    void setOrganisation(Organisation owner) {
        organisation = owner;
    }

    void setQuotaCharge(QuotaCharge charge) {
        quotaCharge = charge;
    }

    /** Charges the organisation's quota for another attempt after those that may have run. */
    void chargeNextRun(RetryPolicy.History history) {
        quotaCharge.setRuns(history.attemptsPossiblyRun() + 1);
    }

    /**
     * Charges the organisation's quota for what may have run when the request has ended, and
     * returns the rest.
     */
    void settleQuota(RequestAttempts attempts) {
        boolean currentSent = attempts.hasCurrent() && attempts.current().wasSent();
        quotaCharge.setRuns(attempts.history().attemptsPossiblyRun() + (currentSent ? 1 : 0));
    }

    /** Returns the timing of the stream that answers the request, whose route is known. */
    StreamTiming streamTiming(RelayMetrics metrics) {
        if (streamTiming == null) {
            streamTiming = new StreamTiming(metrics, route, arrivedAt);
        }
        return streamTiming;
    }

    /** Returns the earlier of the route's timeout and the request's own deadline. */
    public Instant responseDeadline() {
        Instant routeDeadline = arrivedAt.plus(route.timeout());
        return head.deadline()
                .map(arrivedAt::plus)
                .filter(requestDeadline -> requestDeadline.isBefore(routeDeadline))
                .orElse(routeDeadline);
    }

    /** Describes route and organisation for the log and for operators. */
    String describeOrigin() {
        return "route="
                + route().name()
                + organisation()
                        .map(organisation -> " organisation=" + organisation.name())
                        .orElse("");
    }
}
