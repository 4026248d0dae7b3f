package org.bergamothoist.gateway.client;

/**
 * How the answer to a request is told from other answers on its connection, such as a second copy
 * of an earlier one.
 *
 * @param kind how it is told
 * @param requestId identifier of the request, or an empty string
 */
public record AnswerMatch(Kind kind, String requestId) {

    /** What tells the answer. */
    public enum Kind {
        /** The answer repeats the identifier, which is sent once on each connection. */
        IDENTIFIER,
        /** The caller recognises other answers by their bodies. */
        CONTENT,
        /** Nothing: the request has a connection of its own. */
        CONNECTION
    }

    private static final AnswerMatch BY_CONTENT = new AnswerMatch(Kind.CONTENT, "");
    private static final AnswerMatch BY_CONNECTION = new AnswerMatch(Kind.CONNECTION, "");

    /** The answer repeats the identifier. */
    public static AnswerMatch byIdentifier(String requestId) {
        return new AnswerMatch(Kind.IDENTIFIER, requestId);
    }

    /** The caller recognises other answers by their bodies. */
    public static AnswerMatch byContent() {
        return BY_CONTENT;
    }

    /** The request has a connection of its own. */
    public static AnswerMatch byConnection() {
        return BY_CONNECTION;
    }

    boolean isOnKeptConnection() {
        return kind != Kind.CONNECTION;
    }

    boolean isByIdentifier() {
        return kind == Kind.IDENTIFIER;
    }
}
