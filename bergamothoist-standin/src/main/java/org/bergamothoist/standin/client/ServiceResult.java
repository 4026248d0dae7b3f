package org.bergamothoist.standin.client;

import java.util.List;

/**
 * What became of a call to a plain service.
 *
 * @param status HTTP status, 0 if no answer came
 * @param sending the request identifier with the outcome
 */
public record ServiceResult(
        ServiceRequest request,
        int status,
        byte[] body,
        Sending sending,
        List<Violation> violations) {

    public ServiceResult {
        violations = List.copyOf(violations);
    }
}
