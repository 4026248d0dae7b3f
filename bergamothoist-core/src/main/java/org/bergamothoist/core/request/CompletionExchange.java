package org.bergamothoist.core.request;

import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.stream.ResumeToken;
import org.bergamothoist.core.stream.StreamRelay;

/** A completion request while the filter chain processes it. Confined to the control thread. */
public final class CompletionExchange extends RequestExchange {

    private final CompletionSubmission submission;
    private final StreamRelay relay;
    private final Optional<ResumePoint> resumePoint;
    private ModelKey modelKey;
    private BlockHashChain hashChain;
    private Fingerprint fingerprint;

    /**
     * Creates an exchange.
     *
     * @param resumePoint where to resume the stream, or empty for a new request
     */
    public CompletionExchange(
            Metadata metadata,
            CompletionSubmission submission,
            Optional<ResumePoint> resumePoint,
            StreamRelay relay,
            OutcomeGuard outcomeGuard) {
        super(metadata, outcomeGuard);
        this.submission = submission;
        this.resumePoint = resumePoint;
        this.relay = relay;
    }

    /**
     * The position from which an interrupted stream is resumed.
     *
     * @param nextPiece index of the first piece that the caller has not received
     * @param deliveredText text that the caller has already received, if it kept it
     */
    public record ResumePoint(ResumeToken token, int nextPiece, Optional<String> deliveredText) {}

    /** Returns the request as the caller sent it. */
    public CompletionSubmission submission() {
        return submission;
    }

    /** Returns the position to resume from, or empty for a new request. */
    public Optional<ResumePoint> resumePoint() {
        return resumePoint;
    }

    /** Returns the relay that forwards the stream to the caller. */
    public StreamRelay relay() {
        return relay;
    }

    /**
     * Sets the model that the organisation's sheet allows, the block hashes and the fingerprint.
     */
    public void resolveTo(
            ModelKey resolvedKey, BlockHashChain resolvedChain, Fingerprint contentFingerprint) {
        modelKey = resolvedKey;
        hashChain = resolvedChain;
        fingerprint = contentFingerprint;
    }

    /** Returns the model that runs the request. */
    public ModelKey modelKey() {
        return modelKey;
    }

    /** Returns the chained hashes of the prompt's blocks. */
    public BlockHashChain hashChain() {
        return hashChain;
    }

    /** Returns the fingerprint by which a request that crashes engines is recognised. */
    public Fingerprint fingerprint() {
        return fingerprint;
    }

    @Override
    public boolean resuming() {
        return resumePoint.isPresent();
    }

    @Override
    public int estimatedTokens() {
        return Math.max(1, submission.prompt().estimatedTokens());
    }

    @Override
    protected void deliver(Outcome finalOutcome) {
        relay.finish(finalOutcome);
    }
}
