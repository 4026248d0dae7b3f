package org.bergamothoist.core.prefix;

import org.bergamothoist.core.route.Organisation;

/**
 * Separates cached parts: engines find a part only under the scope in which it was made.
 *
 * @param key differs between isolated organisations, models and versions of weights
 */
public record CacheScope(String key) {

    private static final String SHARED_OWNER = "common";

    /**
     * Returns the scope of an organisation's requests.
     *
     * @param organisation null for callers without one
     */
    public static CacheScope of(Organisation organisation, String model, int weightVersion) {
        boolean isolated = organisation != null && organisation.isolated();
        String owner = isolated ? "organisation-" + organisation.name() : SHARED_OWNER;
        return new CacheScope(owner + "." + model + "." + weightVersion);
    }
}
