package org.bergamothoist.gateway.caller;

import java.util.Optional;

/** Checks a request before it is sent to a target, and may add to its context. */
@FunctionalInterface
public interface PreDispatchFilter {

    /** Returns the response to a refused request, or empty if the request passes the filter. */
    Optional<ErrorResponse> check(RequestContext request);
}
