package org.bergamothoist.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The head of a target's answer.
 *
 * @param signed whether the answer bears the target's signature
 * @param notRun whether the target states that it did not run the request
 * @param requestId the request that is answered, if the target says so
 * @param otherInstance the instance that answers, if it is not the expected one
 * @param weightVersion version of the weights that the request runs on
 * @param encoded whether the body is not in its plain form
 */
public record AnswerHead(
        int status,
        boolean signed,
        boolean notRun,
        Optional<String> requestId,
        Optional<String> otherInstance,
        OptionalInt weightVersion,
        boolean encoded) {

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
