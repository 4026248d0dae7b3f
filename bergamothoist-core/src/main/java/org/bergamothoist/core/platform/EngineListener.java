package org.bergamothoist.core.platform;

/**
 * Receives the events of one dispatch, in order, on any thread, one at a time. After {@code
 * onCompleted} or {@code onFailed} nothing follows.
 */
public interface EngineListener {

    /** Reports that the first byte is about to leave for the target; "not run" is ruled out now. */
    void onSending();

    /** Reports the head of the answer. */
    void onStarted(EngineResponseStart start);

    /**
     * Reports generated text.
     *
     * @param index position of the piece in the engine's stream, from 0 on, without gaps
     * @param tokens tokens in the piece
     */
    void onPiece(int index, String text, int tokens);

    /** Reports that the answer is whole. */
    void onCompleted();

    /** Reports that the dispatch failed. */
    void onFailed(TargetFailure failure);
}
