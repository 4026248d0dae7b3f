package org.bergamothoist.core.request;

import java.util.Optional;

/**
 * A caller's request to resume a stream after its connection or daemon failed.
 *
 * @param original the request that started the stream
 * @param token resume token from the stream's start event
 * @param nextPiece index of the first piece that the caller has not received
 * @param deliveredText text of all pieces before {@code nextPiece}, if the caller kept it; required
 *     to continue on another engine
 */
public record ResumeSubmission(
        CompletionSubmission original,
        String token,
        int nextPiece,
        Optional<String> deliveredText) {}
