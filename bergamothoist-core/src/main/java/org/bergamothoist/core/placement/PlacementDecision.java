package org.bergamothoist.core.placement;

import java.time.Duration;
import org.bergamothoist.core.identity.TargetId;

/**
 * A policy's choice.
 *
 * @param cachedBlocks leading blocks that the target probably holds
 * @param queueingDelay predicted time until the target starts to compute the prompt
 * @param importReplica whether the target should import the prefix from the KV cache store, because
 *     the prefix is hot and the target does not hold it yet
 */
public record PlacementDecision(
        TargetId target, int cachedBlocks, Duration queueingDelay, boolean importReplica) {}
