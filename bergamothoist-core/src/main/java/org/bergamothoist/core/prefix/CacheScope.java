package org.bergamothoist.core.prefix;

import org.bergamothoist.core.route.Organisation;

/**
 * The isolation scope of cached prompt parts: a part is reused only by requests of the scope in
 * which it was computed.
 *
 * @param key identifies the scope; differs between isolated organisations, models and weight
 *     versions
 */
public record CacheScope(String key) {

    private static final String SHARED_OWNER = "common";

    /**
     * Returns the scope of an organisation's requests. Organisations that are not isolated share
     * one scope per model and weight version.
     *
     * @param organisation the organisation, or null for callers without one
     */
    public static CacheScope of(Organisation organisation, String model, int weightVersion) {
        boolean isolated = organisation != null && organisation.isolated();
        String owner = isolated ? "organisation-" + organisation.name() : SHARED_OWNER;
        return new CacheScope(owner + "." + model + "." + weightVersion);
    }
}
