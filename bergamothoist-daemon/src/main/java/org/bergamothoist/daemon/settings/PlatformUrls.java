package org.bergamothoist.daemon.settings;

import java.net.URI;

/**
 * Base URLs of the outside systems.
 *
 * @param log log service
 * @param virtualMachineList list of VMs
 * @param weightStore store of model weights
 * @param cacheStore KV cache store
 */
public record PlatformUrls(URI log, URI virtualMachineList, URI weightStore, URI cacheStore) {}
