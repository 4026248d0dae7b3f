package org.bergamothoist.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Status and platform headers of a target's response.
 *
 * @param status HTTP status code
 * @param signed whether the response has a signature header
 * @param notRun whether the target declares that it did not execute the request
 * @param requestId identifier of the request that the response belongs to, if present
 * @param respondingInstance identifier of the instance that responded, if present; it may differ
 *     from the expected one
 * @param weightVersion version of the weights that the request is executed with
 * @param contentEncoded whether the body has a content encoding such as gzip
 */
public record ResponseHead(
        int status,
        boolean signed,
        boolean notRun,
        Optional<String> requestId,
        Optional<String> respondingInstance,
        OptionalInt weightVersion,
        boolean contentEncoded) {

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
