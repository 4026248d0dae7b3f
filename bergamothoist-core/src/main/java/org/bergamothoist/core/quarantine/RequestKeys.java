package org.bergamothoist.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What may crash the targets of a request: its content, or one of the parts of its prompt that
 * other requests share.
 */
public record RequestKeys(Fingerprint content, Set<Fingerprint> parts) {

    /** Maximum number of parts of one prompt that are told apart; further ones are ignored. */
    public static final int MAXIMUM_PARTS = 128;

    /** Maximum number of parts that a description names. */
    private static final int MAXIMUM_DESCRIBED_PARTS = 8;

    public RequestKeys {
        parts = Set.copyOf(parts);
    }

    /** Returns the keys of a request without a prompt. */
    public static RequestKeys ofContent(Fingerprint content) {
        return new RequestKeys(content, Set.of());
    }

    /**
     * Returns the keys of a request.
     *
     * @param sharedParts keys of the parts of its prompt that other requests may share
     */
    public static RequestKeys of(
            Fingerprint content, String service, Collection<String> sharedParts) {
        return new RequestKeys(
                content,
                sharedParts.stream()
                        .limit(MAXIMUM_PARTS)
                        .map(part -> FingerprintCalculator.ofPart(service, part))
                        .collect(Collectors.toSet()));
    }

    /** Returns the content and the parts. */
    public List<Fingerprint> all() {
        List<Fingerprint> all = new ArrayList<>(parts.size() + 1);
        all.add(content);
        all.addAll(parts);
        return all;
    }

    boolean containsAll(Collection<Fingerprint> keys) {
        return keys.stream().allMatch(key -> key.equals(content) || parts.contains(key));
    }

    /** Describes the keys for the log. */
    public String describe() {
        String described =
                parts.stream()
                        .sorted()
                        .limit(MAXIMUM_DESCRIBED_PARTS)
                        .map(Fingerprint::abbreviated)
                        .collect(Collectors.joining(","));
        return "content=" + content.abbreviated() + (parts.isEmpty() ? "" : " parts=" + described);
    }
}
