package org.bergamothoist.core.prefix;

import java.util.List;
import java.util.Optional;

/**
 * A prompt by its parts in order; the last part is the request's or its session's own.
 *
 * @param promptTokens size of the whole prompt
 * @param outputTokens most tokens that are generated
 */
public record PartitionedPrompt(
        String model, int promptTokens, int maximumOutputTokens, List<PromptPart> parts) {

    public PartitionedPrompt {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may share. */
    public List<PromptPart> sharedParts() {
        return parts.size() < 2 ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /** Returns the last shared part, which names the subject of the request, or empty. */
    public Optional<PromptPart> affinityPart() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? Optional.empty() : Optional.of(shared.get(shared.size() - 1));
    }

    /** Returns the tokens of all shared parts. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }
}
