package org.bergamothoist.core.request;

import java.nio.ByteBuffer;
import java.util.Set;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.stream.ServiceRelay;

/**
 * A call to a plain service while the filter chain processes it. Confined to the control thread.
 */
public final class ServiceExchange extends RequestExchange {

    /** Methods that HTTP defines as idempotent; others are not retried after a byte was sent. */
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

    private final ServiceSubmission submission;
    private final ServiceRelay relay;
    private Fingerprint fingerprint;

    /** Creates an exchange. */
    public ServiceExchange(
            Metadata metadata,
            ServiceSubmission submission,
            ServiceRelay relay,
            OutcomeGuard outcomeGuard) {
        super(metadata, outcomeGuard);
        this.submission = submission;
        this.relay = relay;
        if (!IDEMPOTENT_METHODS.contains(submission.method())) {
            forbidRetry();
        }
    }

    /** Returns the call as the caller sent it. */
    public ServiceSubmission submission() {
        return submission;
    }

    /** Returns the relay that forwards the response to the caller. */
    public ServiceRelay relay() {
        return relay;
    }

    /**
     * Returns the fingerprint by which a call that crashes services is recognised. Known once the
     * caller is authenticated.
     */
    public Fingerprint fingerprint() {
        if (fingerprint == null) {
            fingerprint =
                    FingerprintCalculator.ofRequest(
                            submission.method(),
                            submission.service(),
                            submission.pathAndQuery(),
                            organisationId().value(),
                            ByteBuffer.wrap(submission.body()));
        }
        return fingerprint;
    }

    @Override
    public boolean resuming() {
        return false;
    }

    @Override
    public int estimatedTokens() {
        return 1;
    }

    @Override
    protected void deliver(Outcome finalOutcome) {
        relay.finish(finalOutcome);
    }
}
