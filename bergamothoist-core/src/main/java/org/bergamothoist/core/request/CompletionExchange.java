package org.bergamothoist.core.request;

import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.BlockChain;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.stream.ResumeToken;
import org.bergamothoist.core.stream.StreamRelay;

/** A completion on its way through the filter chain. Confined to the control thread. */
public final class CompletionExchange extends RequestExchange {

    private final CompletionSubmission submission;
    private final StreamRelay relay;
    private final Optional<ResumePoint> resumePoint;
    private ModelKey modelKey;
    private BlockChain chain;
    private Fingerprint fingerprint;

    /** Creates an exchange. */
    public CompletionExchange(
            Head head,
            CompletionSubmission submission,
            Optional<ResumePoint> resumePoint,
            StreamRelay relay,
            OutcomeGuard outcomeGuard) {
        super(head, outcomeGuard);
        this.submission = submission;
        this.resumePoint = resumePoint;
        this.relay = relay;
    }

    /**
     * Where a lost stream shall go on.
     *
     * @param nextPiece index of the first piece that the caller lacks
     * @param deliveredText text that the caller has, if it kept it
     */
    public record ResumePoint(ResumeToken token, int nextPiece, Optional<String> deliveredText) {}

    /** Returns the request as the caller sent it. */
    public CompletionSubmission submission() {
        return submission;
    }

    /** Returns where to go on, for a resumed stream. */
    public Optional<ResumePoint> resumePoint() {
        return resumePoint;
    }

    /** Returns the relay to the caller. */
    public StreamRelay relay() {
        return relay;
    }

    /** Sets model, blocks and fingerprint, as the sheet resolves them. */
    public void resolved(ModelKey resolvedKey, BlockChain resolvedChain, Fingerprint content) {
        modelKey = resolvedKey;
        chain = resolvedChain;
        fingerprint = content;
    }

    /** Returns the model that runs the request. */
    public ModelKey modelKey() {
        return modelKey;
    }

    /** Returns the hashes of the prompt's blocks. */
    public BlockChain chain() {
        return chain;
    }

    /** Returns the fingerprint of the content. */
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
