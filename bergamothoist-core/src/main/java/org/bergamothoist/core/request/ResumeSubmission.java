package org.bergamothoist.core.request;

import java.util.Optional;

/**
 * Asks to go on with a stream whose connection or daemon was lost.
 *
 * @param original the request as sent before
 * @param token resume token of the stream's start event
 * @param nextPiece index of the first piece that the caller lacks
 * @param deliveredText text of all pieces before {@code nextPiece}, if the caller kept it; needed
 *     to continue on another engine
 */
public record ResumeSubmission(
        CompletionSubmission original,
        String token,
        int nextPiece,
        Optional<String> deliveredText) {}
