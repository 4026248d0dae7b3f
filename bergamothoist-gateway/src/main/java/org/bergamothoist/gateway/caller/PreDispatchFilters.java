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

/** Creates the filters that every request passes before it is sent to a target. */
public final class PreDispatchFilters {

    /** Minimum retry delay of callers that a stopping or starting daemon refuses. */
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(50);

    /** Maximum random addition to the retry delay, so that callers do not retry all at once. */
    private static final Duration RETRY_JITTER = Duration.ofMillis(200);

    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final ConfigurationHolder configuration;
    private final BooleanSupplier refusingNewRequests;
    private final PreDispatchFilter quota;
    private final DoubleSupplier random;

    /**
     * Creates the filters.
     *
     * @param refusingNewRequests whether new requests are refused because the daemon is stopping
     * @param quota refuses requests beyond the quota of their organisation
     * @param random supplies uniformly distributed numbers from 0 to 1
     */
    public PreDispatchFilters(
            ConfigurationHolder configuration,
            BooleanSupplier refusingNewRequests,
            PreDispatchFilter quota,
            DoubleSupplier random) {
        this.configuration = configuration;
        this.refusingNewRequests = refusingNewRequests;
        this.quota = quota;
        this.random = random;
    }

    /** Returns the filters in the order in which they are applied. */
    public List<PreDispatchFilter> chain() {
        return List.of(
                this::checkStopping,
                this::checkConfiguration,
                this::matchRoute,
                this::identifyOrganisation,
                quota);
    }

    private Optional<ErrorResponse> checkStopping(RequestContext request) {
        return refusingNewRequests.getAsBoolean()
                ? Optional.of(refuseTemporarily(ErrorCode.STOPPING, "the daemon is stopping"))
                : Optional.empty();
    }

    private Optional<ErrorResponse> checkConfiguration(RequestContext request) {
        Optional<RouteConfiguration> current = configuration.current();
        current.ifPresent(request::setConfiguration);
        return current.isPresent()
                ? Optional.empty()
                : Optional.of(
                        refuseTemporarily(
                                ErrorCode.NOT_READY,
                                "the daemon has received no configuration yet"));
    }

    private ErrorResponse refuseTemporarily(ErrorCode code, String reason) {
        Duration delay = Jitter.delay(MINIMUM_RETRY_DELAY, RETRY_JITTER, random);
        return new ErrorResponse(UNAVAILABLE, code, reason, Optional.of(delay));
    }

    private Optional<ErrorResponse> matchRoute(RequestContext request) {
        Optional<Route> route =
                request.configuration()
                        .route(request.head().host(), request.head().requestTarget());
        route.ifPresent(request::setRoute);
        return route.isPresent()
                ? Optional.empty()
                : Optional.of(
                        ErrorResponse.of(
                                NOT_FOUND,
                                ErrorCode.NOT_ENTITLED,
                                "no route matches the host and path"));
    }

    private Optional<ErrorResponse> identifyOrganisation(RequestContext request) {
        Optional<Organisation> owner =
                request.head().callerKey().flatMap(request.configuration()::organisation);
        owner.ifPresent(request::setOrganisation);
        boolean keyRequired =
                request.configuration().keysRequired() && !request.route().allowsAnonymous();
        return owner.isPresent() || !keyRequired
                ? Optional.empty()
                : Optional.of(
                        ErrorResponse.of(
                                UNAUTHORIZED,
                                ErrorCode.UNAUTHENTICATED,
                                "missing or unknown caller key"));
    }
}
