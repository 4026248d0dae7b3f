package org.bergamothoist.standin.client;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Checks that a stream is whole, in order and the answer to its own prompt. */
final class StreamChecker {

    private final CompletionRequest request;
    private final String expected;
    private final StringBuilder text = new StringBuilder();
    private final TreeMap<Integer, String> early = new TreeMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private String requestId;
    private int nextPiece;
    private boolean foreign;

    StreamChecker(CompletionRequest request, String requestId) {
        this.request = request;
        this.expected = request.expectedText();
        this.requestId = requestId;
    }

    /** Begins again under a new identifier, after a sending that delivered nothing. */
    void restart(String newRequestId) {
        requestId = newRequestId;
    }

    int nextPiece() {
        return nextPiece;
    }

    String text() {
        return text.toString();
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    void onStart(RouterMessages.Start start) {
        if (!requestId.equals(start.requestId())) {
            report(Violation.Kind.FOREIGN_TEXT, "start names request " + start.requestId());
        }
        if (!request.modelKey().equals(start.modelKey())) {
            report(Violation.Kind.WRONG_MODEL, "answered by " + start.modelKey());
        }
    }

    void onPiece(String eventId, RouterMessages.Piece piece) {
        int index = piece.index();
        if (!String.valueOf(index).equals(eventId)) {
            malformed("event " + eventId + " carries piece " + index);
        }
        if (index < nextPiece || early.containsKey(index)) {
            report(Violation.Kind.DUPLICATED_PIECE, "piece " + index);
            return;
        }
        if (!early.isEmpty() && index < early.lastKey()) {
            report(Violation.Kind.REORDERED_PIECE, "piece " + index + " after " + early.lastKey());
        }
        early.put(index, piece.text());
        while (early.containsKey(nextPiece)) {
            append(early.remove(nextPiece));
            nextPiece++;
        }
    }

    /** Checks the whole text when the router says that the request is answered. */
    void onAnswered() {
        if (!reportMissing() && text.length() < expected.length()) {
            report(
                    Violation.Kind.SILENT_CUT,
                    "answered with " + text.length() + " of " + expected.length() + " characters");
        }
    }

    /** Forgets what came out of order when the connection is lost, since it will come again. */
    void onLost() {
        reportMissing();
        early.clear();
    }

    /** Reports a stream that ended in the regular way, but without an outcome. */
    void onEndWithoutOutcome(String address) {
        String detail = "stream of " + address + " ended without an outcome at piece " + nextPiece;
        report(Violation.Kind.SILENT_CUT, detail);
    }

    void onNoOutcome() {
        report(Violation.Kind.NO_OUTCOME, "stream began, but its outcome never came");
    }

    void malformed(String detail) {
        report(Violation.Kind.MALFORMED_EVENT, detail);
    }

    private boolean reportMissing() {
        if (early.isEmpty()) {
            return false;
        }
        report(Violation.Kind.MISSING_PIECE, "piece " + nextPiece);
        return true;
    }

    private void append(String pieceText) {
        boolean fits = expected.startsWith(pieceText, text.length());
        if (!fits && !foreign) {
            foreign = true;
            report(Violation.Kind.FOREIGN_TEXT, "piece " + nextPiece + ": " + pieceText);
        }
        text.append(pieceText);
    }

    private void report(Violation.Kind kind, String detail) {
        violations.add(new Violation(kind, requestId, detail));
    }
}
