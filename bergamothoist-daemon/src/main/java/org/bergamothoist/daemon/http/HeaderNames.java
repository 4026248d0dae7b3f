package org.bergamothoist.daemon.http;

/** Names of HTTP headers with a meaning to the daemon. */
public final class HeaderNames {

    /** Carries the organisation's or operator's key. */
    public static final String AUTHORIZATION = "Authorization";

    /** Carries the request's identifier, a UUID of version 7. */
    public static final String REQUEST_ID = "Request-Id";

    /** Carries the priority, 0 (most urgent) to 9. */
    public static final String REQUEST_PRIORITY = "Request-Priority";

    /** Carries the time for the first token, in milliseconds from now. */
    public static final String REQUEST_DEADLINE = "Request-Deadline";

    /** Is {@code false} for requests that must not run twice. */
    public static final String IDEMPOTENT = "Idempotent";

    /** Marks an answer that the daemon made itself, with the outcome as value. */
    public static final String REQUEST_OUTCOME = "Request-Outcome";

    /** Carries the length of a body. */
    public static final String CONTENT_LENGTH = "Content-Length";

    private HeaderNames() {}
}
