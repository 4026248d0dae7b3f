package org.bergamothoist.core.route;

import java.util.Optional;

/**
 * A service that receives requests, or an external KV cache store.
 *
 * @param connectionLimit maximum number of connections that one target accepts from all daemons
 *     together
 * @param engine present if the service's targets are model engines
 * @param cacheStore present if this is a KV cache store
 */
public record ServiceDefinition(
        String name,
        int connectionLimit,
        Optional<EngineDefinition> engine,
        Optional<CacheStoreDefinition> cacheStore) {}
