package org.bergamothoist.core.platform;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/** Receives the events of one attempt at a plain service, in order, one at a time. */
public interface ServiceListener {

    /** Reports that the first byte is about to be sent; the outcome can no longer be "not run". */
    void onSending();

    /** Reports the status code and the headers of the response. */
    void onHead(int status, Map<String, List<String>> headers);

    /** Reports the next part of the body. */
    void onBody(ByteBuffer part);

    /** Reports that the response is complete. */
    void onCompleted();

    /**
     * Reports that the response is complete if the end of its connection was its end. The response
     * of an instance that ends within it looks the same.
     */
    default void onCompletedByClose() {
        onCompleted();
    }

    /** Reports that the attempt failed. */
    void onFailed(TargetFailure failure);
}
