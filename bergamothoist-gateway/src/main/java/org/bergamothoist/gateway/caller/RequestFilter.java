package org.bergamothoist.gateway.caller;

import java.util.Optional;

/** A step that a request passes before it is sent to a target. */
@FunctionalInterface
public interface RequestFilter {

    /** Returns why the request is refused, or empty to pass it on. */
    Optional<Refusal> check(RequestContext request);
}
