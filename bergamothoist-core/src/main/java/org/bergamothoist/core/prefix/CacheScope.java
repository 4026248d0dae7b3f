package org.bergamothoist.core.prefix;

import org.bergamothoist.core.route.CacheOwner;

/**
 * The isolation scope of cached prompt parts: a part is reused only by requests of the scope in
 * which it was computed.
 *
 * @param key identifies the scope; differs between owners, models and weight versions
 */
public record CacheScope(String key) {

    /** Returns the scope of an owner's requests for a model and weight version. */
    public static CacheScope of(CacheOwner owner, String model, int weightVersion) {
        return new CacheScope(owner.key() + "." + model + "." + weightVersion);
    }

    /**
     * Returns the scope of an owner's requests that do not state their prompt, whose parts were
     * computed with unknown weights.
     */
    public static CacheScope ofUnstatedPrompt(CacheOwner owner) {
        return new CacheScope(owner.key());
    }
}
