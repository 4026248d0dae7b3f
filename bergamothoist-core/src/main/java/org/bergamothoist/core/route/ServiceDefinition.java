package org.bergamothoist.core.route;

import java.util.Optional;

/**
 * A service that requests are routed to, or a store of KV cache.
 *
 * @param connectionLimit connections that each target accepts from all daemons together
 */
public record ServiceDefinition(
        String name,
        int connectionLimit,
        Optional<EngineDefinition> engine,
        Optional<CacheStoreDefinition> cacheStore) {}
