package org.bergamothoist.core.route;

/**
 * A store of KV cache beside the engines.
 *
 * @param address IP address and port
 * @param capacityTokens tokens that it holds
 */
public record CacheStoreDefinition(String address, String dataCentre, long capacityTokens) {}
