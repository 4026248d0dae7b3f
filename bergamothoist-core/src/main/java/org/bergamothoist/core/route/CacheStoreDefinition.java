package org.bergamothoist.core.route;

/**
 * An external store for KV cache blocks that model engines share.
 *
 * @param address IP address and port
 * @param capacityTokens capacity in tokens
 * @param maximumEventCalls calls for cache events that the store serves at once, of all daemons
 *     together
 */
public record CacheStoreDefinition(
        String address, String dataCentre, long capacityTokens, int maximumEventCalls) {}
