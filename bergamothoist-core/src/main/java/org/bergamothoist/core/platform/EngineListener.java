package org.bergamothoist.core.platform;

/**
 * Receives the events of one attempt at an engine, in order, one at a time, on any thread. {@code
 * onCompleted} and {@code onFailed} are final.
 */
public interface EngineListener {

    /** Reports that the first byte is about to be sent; the outcome can no longer be "not run". */
    void onSending();

    /** Reports the start of the response. */
    void onStarted(EngineResponseStart start);

    /**
     * Reports a piece of generated text.
     *
     * @param index position of the piece in the engine's stream, starting at 0, without gaps
     * @param tokens number of tokens in the piece
     */
    void onPiece(int index, String text, int tokens);

    /** Reports that the response is complete. */
    void onCompleted();

    /** Reports that the attempt failed. */
    void onFailed(TargetFailure failure);
}
