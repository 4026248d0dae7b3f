package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.route.ConfigurationHolder;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.time.Jitter;

/** The filters that every request passes, in order. */
public final class RequestFilters {

    /** Least pause before a caller comes back to a daemon that stops or starts. */
    private static final Duration LEAST_RETURN = Duration.ofMillis(50);

    /** Range over which returns are spread, so that callers do not come back at once. */
    private static final Duration RETURN_SPREAD = Duration.ofMillis(200);

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final ConfigurationHolder configuration;
    private final BooleanSupplier refusing;
    private final DoubleSupplier random;

    /**
     * Creates the filters.
     *
     * @param refusing whether new requests are refused, at a stop
     * @param random draws numbers from 0 to 1
     */
    public RequestFilters(
            ConfigurationHolder configuration, BooleanSupplier refusing, DoubleSupplier random) {
        this.configuration = configuration;
        this.refusing = refusing;
        this.random = random;
    }

    /** Returns the chain. */
    public List<RequestFilter> chain() {
        return List.of(this::checkStopping, this::checkConfiguration, this::route, this::identify);
    }

    private Optional<Refusal> checkStopping(RequestContext request) {
        return refusing.getAsBoolean()
                ? Optional.of(later(ErrorCode.STOPPING, "the daemon is stopping"))
                : Optional.empty();
    }

    private Optional<Refusal> checkConfiguration(RequestContext request) {
        Optional<RouteConfiguration> current = configuration.current();
        current.ifPresent(request::configured);
        return current.isPresent()
                ? Optional.empty()
                : Optional.of(later(ErrorCode.NOT_READY, "no configuration is known yet"));
    }

    private Refusal later(ErrorCode code, String reason) {
        Duration pause = Jitter.delay(LEAST_RETURN, RETURN_SPREAD, random);
        return new Refusal(UNAVAILABLE, code, reason, Optional.of(pause));
    }

    private Optional<Refusal> route(RequestContext request) {
        Optional<Route> route =
                request.configuration().route(request.head().host(), request.head().target());
        route.ifPresent(request::routed);
        return route.isPresent()
                ? Optional.empty()
                : Optional.of(
                        Refusal.of(NOT_FOUND, ErrorCode.NOT_ENTITLED, "no route has this path"));
    }

    private Optional<Refusal> identify(RequestContext request) {
        Optional<Organisation> owner =
                request.head().callerKey().flatMap(request.configuration()::organisation);
        owner.ifPresent(request::identified);
        boolean needed =
                request.configuration().keysRequired() && !request.route().allowsAnonymous();
        return owner.isPresent() || !needed
                ? Optional.empty()
                : Optional.of(
                        Refusal.of(UNAUTHORIZED, ErrorCode.UNAUTHENTICATED, "unknown caller key"));
    }
}
