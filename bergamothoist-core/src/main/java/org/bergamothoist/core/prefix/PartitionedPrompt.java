package org.bergamothoist.core.prefix;

import java.util.List;
import java.util.Optional;

/**
 * A prompt as the ordered list of its parts. The last part belongs to the request or its session
 * alone; the others may be shared.
 *
 * @param promptTokens number of tokens of the whole prompt
 * @param maximumOutputTokens maximum number of tokens to generate
 * @param parts the parts in prompt order
 */
public record PartitionedPrompt(
        String model, int promptTokens, int maximumOutputTokens, List<PromptPart> parts) {

    public PartitionedPrompt {
        parts = List.copyOf(parts);
    }

    /** Returns all parts but the last, which other requests may have in common. */
    public List<PromptPart> sharedParts() {
        return parts.size() < 2 ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the last shared part, by which requests are assigned to a preferred engine, or empty
     * if there is no shared part.
     */
    public Optional<PromptPart> affinityPart() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? Optional.empty() : Optional.of(shared.get(shared.size() - 1));
    }

    /** Returns the total number of tokens of the shared parts. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }
}
