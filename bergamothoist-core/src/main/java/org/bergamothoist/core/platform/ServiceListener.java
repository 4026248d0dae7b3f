package org.bergamothoist.core.platform;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/** Receives the events of one call to a plain service, in order, one at a time. */
public interface ServiceListener {

    /** Reports that the first byte is about to leave for the target; "not run" is ruled out now. */
    void onSending();

    /** Reports status and headers of the answer. */
    void onHead(int status, Map<String, List<String>> headers);

    /** Reports a part of the body. */
    void onBody(ByteBuffer part);

    /** Reports that the answer is whole. */
    void onCompleted();

    /** Reports that the call failed. */
    void onFailed(TargetFailure failure);
}
