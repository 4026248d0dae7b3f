package org.bergamothoist.core.prefix;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Index of the prompt parts that each holder (an engine or the KV cache store) has cached, as
 * reported or as expected from dispatched requests. Confined to the control thread.
 *
 * <p>The parts of each holder are bounded by its capacity and evicted in least recently used order,
 * like in the engines.
 */
public final class CachedPartIndex {

    private final Map<String, HolderCache> cachesByHolder = new HashMap<>();

    /**
     * Adds parts to a holder's cache.
     *
     * @param capacityTokens maximum number of tokens that the holder keeps
     */
    public void add(String holder, CacheScope scope, List<PromptPart> parts, long capacityTokens) {
        HolderCache cache = cachesByHolder.computeIfAbsent(holder, name -> new HolderCache());
        parts.forEach(part -> cache.put(key(scope, part), part.tokens()));
        cache.evictTo(capacityTokens);
    }

    /** Removes a part from a holder's cache. */
    public void remove(String holder, String scopeKey, String partId) {
        HolderCache cache = cachesByHolder.get(holder);
        if (cache != null) {
            cache.remove(scopeKey + "/" + partId);
        }
    }

    /**
     * Returns the number of tokens of the leading parts that the holder has cached without a gap.
     */
    public int cachedPrefixTokens(String holder, CacheScope scope, List<PromptPart> parts) {
        HolderCache cache = cachesByHolder.get(holder);
        if (cache == null) {
            return 0;
        }
        int tokens = 0;
        for (PromptPart part : parts) {
            if (!cache.contains(key(scope, part))) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Removes all parts of a holder, after its restart or a change of its weights. */
    public void removeHolder(String holder) {
        cachesByHolder.remove(holder);
    }

    private static String key(CacheScope scope, PromptPart part) {
        return scope.key() + "/" + part.id();
    }

    private static final class HolderCache {

        private final LinkedHashMap<String, Integer> tokensByPart =
                new LinkedHashMap<>(16, 0.75f, true);
        private long totalTokens;

        private void put(String key, int partTokens) {
            Integer previousTokens = tokensByPart.put(key, partTokens);
            totalTokens += partTokens - (previousTokens == null ? 0 : previousTokens);
        }

        private void remove(String key) {
            Integer removedTokens = tokensByPart.remove(key);
            totalTokens -= removedTokens == null ? 0 : removedTokens;
        }

        private boolean contains(String key) {
            return tokensByPart.get(key) != null;
        }

        private void evictTo(long capacityTokens) {
            var leastRecentlyUsed = tokensByPart.entrySet().iterator();
            while (totalTokens > capacityTokens && leastRecentlyUsed.hasNext()) {
                totalTokens -= leastRecentlyUsed.next().getValue();
                leastRecentlyUsed.remove();
            }
        }
    }
}
