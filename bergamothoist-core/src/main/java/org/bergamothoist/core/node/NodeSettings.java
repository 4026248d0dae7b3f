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
 * @param blockTokens tokens per block of the prefix cache
 * @param maximumPromptBytes maximum length of a prompt, in bytes of UTF-8
 * @param maximumTokens maximum number of tokens that a request may generate
 * @param addressLifetime time for which callers may cache daemon addresses
 * @param stopDeadline longest time for which a planned stop waits for running requests
 * @param modelsPerEngine maximum number of combinations of model, adapter and version loaded on one
 *     engine
 * @param prefillTokensPerSecond prompt tokens that an engine computes per second, used to predict
 *     queueing delays
 * @param importTokensPerSecond prompt tokens that an engine imports per second from the KV cache
 *     store, 0 if there is none
 * @param ordersEnabled whether the daemons of this deployment send orders to engines
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
