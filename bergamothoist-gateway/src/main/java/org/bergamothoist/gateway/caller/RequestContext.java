package org.bergamothoist.gateway.caller;

import java.time.Instant;
import java.util.Optional;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.gateway.wire.RequestHead;

/** A request on its way through the filter chain; filters add what they find out. */
public final class RequestContext {

    private final RequestHead head;
    private final Instant arrivedAt;
    private RouteConfiguration configuration;
    private Route route;
    private Organisation organisation;

    /** Creates the context of a request that has just arrived. */
    public RequestContext(RequestHead head, Instant arrivedAt) {
        this.head = head;
        this.arrivedAt = arrivedAt;
    }

    public RequestHead head() {
        return head;
    }

    public Instant arrivedAt() {
        return arrivedAt;
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

    void configured(RouteConfiguration current) {
        configuration = current;
    }

    void routed(Route matched) {
        route = matched;
    }

    void identified(Organisation owner) {
        organisation = owner;
    }

    /** Returns when the request has to be answered: its route's timeout or its own deadline. */
    public Instant answerBy() {
        Instant byRoute = arrivedAt.plus(route.timeout());
        return head.deadline()
                .map(arrivedAt::plus)
                .filter(own -> own.isBefore(byRoute))
                .orElse(byRoute);
    }
}
