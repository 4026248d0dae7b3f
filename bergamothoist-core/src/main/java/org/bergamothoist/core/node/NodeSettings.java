package org.bergamothoist.core.node;

import java.time.Duration;
import org.bergamothoist.core.dispatch.DispatchSettings;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.placement.PlacementWeights;

/**
 * Settings of one router node.
 *
 * @param virtualMachine name of the VM in the platform's list
 * @param peerAddress address for other daemons, {@code host:port}
 * @param callerAddress address for callers, {@code host:port}
 * @param deploymentKey secret shared by all daemons of the deployment
 * @param blockTokens tokens of a block of the prefix cache
 * @param maximumPromptBytes longest prompt
 * @param maximumTokens most tokens that a request may generate
 * @param addressLifetime time for which callers keep an address answer
 * @param stopDeadline longest time for which a planned stop waits for streams
 * @param modelsPerEngine most models, adapters and versions on one engine
 * @param prefillTokensPerSecond prompt tokens that an engine computes a second, for predictions
 * @param importTokensPerSecond prompt tokens that an engine imports a second, 0 without a KV cache
 *     store
 * @param ordersEnabled whether this deployment's daemons give orders to engines
 */
public record NodeSettings(
        DaemonId self,
        String virtualMachine,
        String peerAddress,
        String callerAddress,
        String dataCentre,
        byte[] deploymentKey,
        int blockTokens,
        PlacementWeights weights,
        int maximumPromptBytes,
        int maximumTokens,
        Duration addressLifetime,
        Duration stopDeadline,
        int modelsPerEngine,
        int prefillTokensPerSecond,
        int importTokensPerSecond,
        boolean ordersEnabled,
        DispatchSettings dispatch) {}
