package org.bergamothoist.core.placement;

import java.time.Duration;
import org.bergamothoist.core.identity.TargetId;

/**
 * A policy's choice of a target.
 *
 * @param cachedBlocks leading blocks of the prompt that the target probably has in its cache
 * @param queueingDelay predicted time until the target starts to compute the prompt
 * @param importReplica whether the target should import the prefix from the KV cache store, because
 *     the prefix is hot and the target does not have all of it yet
 */
public record PlacementDecision(
        TargetId target, int cachedBlocks, Duration queueingDelay, boolean importReplica) {}
