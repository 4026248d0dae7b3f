package org.bergamothoist.core.request;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.RequestId;

/** Receives the answer of a plain service for a caller, in order, one event at a time. */
public interface ServiceAnswerListener {

    /** Reports status and headers. */
    void onHead(RequestId requestId, int status, Map<String, List<String>> headers);

    /** Reports a part of the body. */
    void onBody(ByteBuffer part);

    /** Reports the end; nothing follows. */
    void onOutcome(RequestId requestId, Outcome outcome);
}
