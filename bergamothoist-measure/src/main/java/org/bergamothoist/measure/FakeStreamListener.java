package org.bergamothoist.measure;

import org.bergamothoist.core.identity.EngineIncarnation;

/** Receives the events of one attempt at a fake engine, at the engine's end of the connection. */
interface FakeStreamListener {

    /** Reports that the prompt is being computed and how much of it was cached. */
    void onPrefill(int cachedBlocks);

    /** Reports the first token. */
    void onFirstToken(EngineIncarnation incarnation, int cachedTokens);

    /** Reports the end of the answer. */
    void onFinished();

    /**
     * Reports that the engine crashed or was down.
     *
     * @param computedTokens tokens that were computed and are lost
     */
    void onFailed(int computedTokens);
}
