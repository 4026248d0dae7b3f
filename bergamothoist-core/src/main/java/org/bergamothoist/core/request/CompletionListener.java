package org.bergamothoist.core.request;

import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;

/**
 * Receives the events of a completion stream on behalf of a caller. Events arrive in order, one at
 * a time, on any thread.
 */
public interface CompletionListener {

    /**
     * Reports that an engine has started to process the request.
     *
     * @param resumeToken opaque token with which any daemon can resume the stream
     * @param nextPiece index of the first piece that follows
     */
    void onStart(RequestId requestId, ModelKey modelKey, String resumeToken, int nextPiece);

    /**
     * Reports a piece of generated text.
     *
     * @param index position in the caller's stream, starting at 0, without gaps
     * @param tokens number of tokens in the piece
     */
    void onPiece(int index, String text, int tokens);

    /** Reports the outcome; no further events follow. */
    void onOutcome(RequestId requestId, Outcome outcome);
}
