package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.function.Supplier;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.core.relay.RetryPolicy;

/** Decides whether one request is sent again. Confined to the event loop. */
final class RequestRetries {

    private final ExchangeDependencies dependencies;
    private final RequestContext request;
    private final ResponseRelay relay;
    private final Supplier<RequestKeys> keys;

    RequestRetries(
            ExchangeDependencies dependencies,
            RequestContext request,
            ResponseRelay relay,
            Supplier<RequestKeys> keys) {
        this.dependencies = dependencies;
        this.request = request;
        this.relay = relay;
        this.keys = keys;
    }

    /** Returns whether the request is refused for its content or a part of its prompt. */
    boolean isRefused() {
        return dependencies.crashingContents().isRefused(keys);
    }

    /**
     * Returns whether to send the request to another target; if so, takes a retry from the budget.
     *
     * @param history attempts that failed before
     * @param failure how the last attempt failed
     */
    boolean tryRetry(
            String service,
            RetryPolicy.History history,
            Duration timeLeft,
            AttemptFailure failure) {
        boolean retryable = !relay.isStarted() || relay.isResumable();
        return retryable
                && !isRefused()
                && dependencies
                        .retryPolicy()
                        .tryRetry(
                                new RetryPolicy.FailedAttempt(
                                        request.route(),
                                        service,
                                        history,
                                        relay.isStarted(),
                                        timeLeft),
                                failure);
    }
}
