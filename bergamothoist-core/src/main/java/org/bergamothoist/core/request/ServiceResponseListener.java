package org.bergamothoist.core.request;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.RequestId;

/**
 * Receives the response of a plain service on behalf of a caller. Events arrive in order, one at a
 * time.
 */
public interface ServiceResponseListener {

    /** Reports the status code and the headers. */
    void onHead(RequestId requestId, int status, Map<String, List<String>> headers);

    /** Reports the next part of the body. */
    void onBody(ByteBuffer part);

    /** Reports the outcome; no further events follow. */
    void onOutcome(RequestId requestId, Outcome outcome);
}
