package org.bergamothoist.standin;

import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/** Messages of the model engine's HTTP form. */
final class EngineMessages {

    private EngineMessages() {}

    record Completion(
            String requestId,
            int attempt,
            String organisation,
            String model,
            String adapter,
            String version,
            String prompt,
            String continuation,
            List<String> blockHashes,
            int maxTokens,
            int priority,
            String cacheSalt) {

        Completion {
            continuation = continuation == null ? "" : continuation;
            cacheSalt = cacheSalt == null ? "" : cacheSalt;
            blockHashes = blockHashes == null ? List.of() : List.copyOf(blockHashes);
            if (prompt == null || requestId == null || organisation == null || maxTokens < 1) {
                throw new IllegalArgumentException(
                        "prompt, request_id, organisation and a positive max_tokens are required");
            }
        }

        ModelKey modelKey() {
            return new ModelKey(model, adapter, version);
        }
    }

    record Start(
            String incarnation,
            String model,
            String adapter,
            String version,
            String streamId,
            int cachedTokens,
            int promptTokens) {}

    record Piece(int index, String text, int tokens) {}

    record Done() {}

    record Error(String message) {}

    record Model(String model, String adapter, String version) {

        ModelKey key() {
            return new ModelKey(model, adapter, version);
        }
    }

    record ReportedModel(String model, String adapter, String version, String state) {}

    record Report(
            String incarnation,
            List<ReportedModel> models,
            long queuedTokens,
            int runningStreams,
            String measuredAt,
            long lastEventSequence,
            boolean leaving,
            boolean fencing) {}

    record Events(String incarnation, List<Event> events) {}

    record Event(long sequence, String kind, String blockHash) {}

    record Snapshot(String incarnation, long sequence, List<String> blockHashes) {}

    record Order(List<Model> models, String role, long fencingNumber, String deadline) {}

    record Transfer(
            String direction,
            String organisation,
            String model,
            String adapter,
            String version,
            List<String> blockHashes) {

        ModelKey modelKey() {
            return new ModelKey(model, adapter, version);
        }
    }
}
