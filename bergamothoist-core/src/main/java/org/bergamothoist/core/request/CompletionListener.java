package org.bergamothoist.core.request;

import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;

/** Receives a caller's stream, in order, one event at a time, on any thread. */
public interface CompletionListener {

    /**
     * Reports that an engine has taken the request.
     *
     * @param resumeToken opaque text with which any daemon resumes the stream
     * @param nextPiece index of the first piece that follows
     */
    void onStart(RequestId requestId, ModelKey modelKey, String resumeToken, int nextPiece);

    /**
     * Reports generated text.
     *
     * @param index position in the caller's stream, from 0 on, without gaps
     */
    void onPiece(int index, String text, int tokens);

    /** Reports the end; nothing follows. */
    void onOutcome(RequestId requestId, Outcome outcome);
}
