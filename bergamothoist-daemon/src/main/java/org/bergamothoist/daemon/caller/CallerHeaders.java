package org.bergamothoist.daemon.caller;

import jakarta.servlet.http.HttpServletRequest;
import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.daemon.http.HeaderNames;

/**
 * The headers with which callers control a request.
 *
 * @param key the organisation's key
 * @param priority 0 is most urgent, 9 least
 * @param deadline time for the first token
 * @param idempotent false if the request must not run twice
 */
record CallerHeaders(
        String key,
        Optional<RequestId> requestId,
        int priority,
        Optional<Duration> deadline,
        boolean idempotent) {

    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_PRIORITY = 5;
    private static final int LOWEST_PRIORITY = 9;
    private static final int MAXIMUM_DEADLINE_MILLISECONDS = 24 * 60 * 60 * 1000;

    /** Reads the headers; fails with {@link InvalidRequestException}. */
    static CallerHeaders of(HttpServletRequest request) {
        return new CallerHeaders(
                key(request.getHeader(HeaderNames.AUTHORIZATION)),
                requestId(request.getHeader(HeaderNames.REQUEST_ID)),
                number(request, HeaderNames.REQUEST_PRIORITY, LOWEST_PRIORITY)
                        .orElse(DEFAULT_PRIORITY),
                deadline(request),
                idempotent(request.getHeader(HeaderNames.IDEMPOTENT)));
    }

    /** Returns the key of an {@code Authorization: Bearer} header. */
    static String key(String header) {
        if (header == null
                || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())
                || header.substring(BEARER.length()).isBlank()) {
            throw new InvalidRequestException(
                    ErrorCode.UNAUTHENTICATED, "header Authorization: Bearer <key> is missing");
        }
        return header.substring(BEARER.length()).strip();
    }

    private static Optional<RequestId> requestId(String header) {
        if (header == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(RequestId.parse(header.strip()));
        } catch (IllegalArgumentException exception) {
            throw new InvalidRequestException(
                    "header " + HeaderNames.REQUEST_ID + " must be a UUID of version 7");
        }
    }

    private static Optional<Duration> deadline(HttpServletRequest request) {
        return number(request, HeaderNames.REQUEST_DEADLINE, MAXIMUM_DEADLINE_MILLISECONDS)
                .map(Duration::ofMillis);
    }

    private static Optional<Integer> number(HttpServletRequest request, String name, int maximum) {
        String header = request.getHeader(name);
        if (header == null) {
            return Optional.empty();
        }
        try {
            int value = Integer.parseInt(header.strip());
            if (value >= 0 && value <= maximum) {
                return Optional.of(value);
            }
        } catch (NumberFormatException exception) {
            // Reported below together with numbers outside the range.
        }
        throw new InvalidRequestException(
                "header " + name + " must be a whole number from 0 to " + maximum);
    }

    private static boolean idempotent(String header) {
        String value = header == null ? "true" : header.strip();
        if (!"true".equalsIgnoreCase(value) && !"false".equalsIgnoreCase(value)) {
            throw new InvalidRequestException(
                    "header " + HeaderNames.IDEMPOTENT + " must be true or false");
        }
        return "true".equalsIgnoreCase(value);
    }
}
