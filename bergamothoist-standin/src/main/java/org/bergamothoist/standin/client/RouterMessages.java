package org.bergamothoist.standin.client;

import java.util.List;
import java.util.Locale;
import org.bergamothoist.core.identity.ModelKey;

/** Messages of the router's interface for callers. */
final class RouterMessages {

    private RouterMessages() {}

    record Addresses(List<Address> addresses, long lifetimeMs) {
        Addresses {
            addresses = List.copyOf(addresses);
        }
    }

    record Address(String address, String dataCentre) {}

    record Completion(
            String model,
            String adapter,
            String version,
            String prompt,
            int maximumTokens,
            boolean idempotent) {}

    record Resume(
            String model,
            String adapter,
            String version,
            String prompt,
            int maximumTokens,
            boolean idempotent,
            String resumeToken,
            int nextPiece,
            String deliveredText) {}

    record Start(
            String requestId,
            String model,
            String adapter,
            String version,
            String resumeToken,
            int nextPiece) {

        ModelKey modelKey() {
            return new ModelKey(model, adapter, version);
        }
    }

    record Piece(int index, String text, int tokens) {}

    record Outcome(
            String requestId, String outcome, String code, String message, long retryAfterMs) {

        Outcome {
            if (outcome == null) {
                throw new IllegalArgumentException("outcome is missing");
            }
            code = code == null ? "" : code;
            message = message == null ? "" : message;
        }

        OutcomeKind kind() {
            return OutcomeKind.valueOf(outcome.toUpperCase(Locale.ROOT));
        }
    }
}
