package org.bergamothoist.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What may crash the targets of a request: its content, or one of the parts of its prompt that
 * other requests share.
 *
 * @param partNames the callers' names of the parts
 */
public record RequestKeys(Fingerprint content, Map<Fingerprint, String> partNames) {

    /** Maximum number of parts of one prompt that are told apart; further ones are ignored. */
    public static final int MAXIMUM_PARTS = 128;

    /** Maximum number of parts that a description names. */
    private static final int MAXIMUM_DESCRIBED_PARTS = 8;

    /** Length to which the name of a part is cut. */
    private static final int MAXIMUM_NAME_LENGTH = 64;

    public RequestKeys {
        partNames = Map.copyOf(partNames);
    }

    /** Returns the keys of a request without a prompt. */
    public static RequestKeys ofContent(Fingerprint content) {
        return new RequestKeys(content, Map.of());
    }

    /**
     * Returns the keys of a request.
     *
     * @param sharedParts keys of the parts of its prompt that other requests may share
     */
    public static RequestKeys of(
            Fingerprint content, String service, Collection<String> sharedParts) {
        return new RequestKeys(content, parts(service, sharedParts));
    }

    /** Returns the fingerprints of parts, with the parts' names. */
    public static Map<Fingerprint, String> parts(String service, Collection<String> sharedParts) {
        return sharedParts.stream()
                .limit(MAXIMUM_PARTS)
                .collect(
                        Collectors.toMap(
                                part -> FingerprintCalculator.ofPart(service, part),
                                RequestKeys::shorten,
                                (name, repeated) -> name));
    }

    private static String shorten(String name) {
        return name.length() > MAXIMUM_NAME_LENGTH ? name.substring(0, MAXIMUM_NAME_LENGTH) : name;
    }

    /** Returns the parts that other requests may share. */
    public Set<Fingerprint> parts() {
        return partNames.keySet();
    }

    /** Returns the caller's name of a part, or empty if the key is the content. */
    public Optional<String> partName(Fingerprint key) {
        return Optional.ofNullable(partNames.get(key));
    }

    /** Returns the content and the parts. */
    public List<Fingerprint> all() {
        List<Fingerprint> all = new ArrayList<>(partNames.size() + 1);
        all.add(content);
        all.addAll(parts());
        return all;
    }

    boolean containsAll(Collection<Fingerprint> keys) {
        return keys.stream().allMatch(key -> key.equals(content) || partNames.containsKey(key));
    }

    /** Describes the keys for the log. */
    public String describe() {
        String described =
                parts().stream()
                        .sorted()
                        .limit(MAXIMUM_DESCRIBED_PARTS)
                        .map(Fingerprint::abbreviated)
                        .collect(Collectors.joining(","));
        return "content="
                + content.abbreviated()
                + (partNames.isEmpty() ? "" : " parts=" + described);
    }
}
