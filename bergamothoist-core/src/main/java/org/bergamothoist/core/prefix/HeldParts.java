package org.bergamothoist.core.prefix;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt parts each holder has in its cache, from the requests that were sent to
 * it. Confined to the control thread.
 *
 * <p>Each holder is a bounded list of parts in the order of last use; the least recently used yield
 * first, as in the engines.
 */
public final class HeldParts {

    private final Map<String, Holder> holders = new HashMap<>();

    /**
     * Notes that a holder has the parts.
     *
     * @param capacityTokens tokens that the holder keeps
     */
    public void add(String holder, CacheScope scope, List<PromptPart> parts, long capacityTokens) {
        Holder held = holders.computeIfAbsent(holder, name -> new Holder());
        parts.forEach(part -> held.put(key(scope, part), part.tokens()));
        held.shrink(capacityTokens);
    }

    /** Notes that a holder no longer has a part. */
    public void remove(String holder, String scopeKey, String partId) {
        Holder held = holders.get(holder);
        if (held != null) {
            held.drop(scopeKey + "/" + partId);
        }
    }

    /** Returns the tokens of the longest run of leading parts that the holder has. */
    public int leadingTokens(String holder, CacheScope scope, List<PromptPart> parts) {
        Holder held = holders.get(holder);
        if (held == null) {
            return 0;
        }
        int tokens = 0;
        for (PromptPart part : parts) {
            if (!held.contains(key(scope, part))) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Forgets what a holder has, after its restart or a change of its weights. */
    public void forget(String holder) {
        holders.remove(holder);
    }

    private static String key(CacheScope scope, PromptPart part) {
        return scope.key() + "/" + part.id();
    }

    private static final class Holder {

        private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
        private long tokens;

        private void put(String key, int size) {
            Integer before = parts.put(key, size);
            tokens += size - (before == null ? 0 : before);
        }

        private void drop(String key) {
            Integer size = parts.remove(key);
            tokens -= size == null ? 0 : size;
        }

        private boolean contains(String key) {
            return parts.get(key) != null;
        }

        private void shrink(long capacity) {
            var oldest = parts.entrySet().iterator();
            while (tokens > capacity && oldest.hasNext()) {
                tokens -= oldest.next().getValue();
                oldest.remove();
            }
        }
    }
}
