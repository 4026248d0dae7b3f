package org.bergamothoist.measure.check.mutation;

import java.time.Duration;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.measure.check.Interposition;

/** Gives running requests no time at a planned stop. */
final class HastyStop implements Interposition {

    @Override
    public NodeSettings settings(NodeSettings settings) {
        return new NodeSettings(
                settings.self(),
                settings.virtualMachine(),
                settings.peerAddress(),
                settings.callerAddress(),
                settings.dataCentre(),
                settings.deploymentKey(),
                settings.blockTokens(),
                settings.weights(),
                settings.maximumPromptBytes(),
                settings.maximumTokens(),
                settings.addressLifetime(),
                Duration.ZERO,
                settings.modelsPerEngine(),
                settings.prefillTokensPerSecond(),
                settings.importTokensPerSecond(),
                settings.ordersEnabled(),
                settings.dispatch());
    }
}
