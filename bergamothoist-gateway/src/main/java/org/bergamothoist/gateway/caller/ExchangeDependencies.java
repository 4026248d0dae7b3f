package org.bergamothoist.gateway.caller;

import java.time.InstantSource;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.CrossingRule;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.buffer.HeldBytes;
import org.bergamothoist.gateway.client.ConnectionLivenessChecker;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Components of the daemon that all exchanges share.
 *
 * @param random supplies uniformly distributed numbers from 0 to 1
 */
public record ExchangeDependencies(
        List<PreDispatchFilter> filters,
        TargetSelector targetSelector,
        CrossingRule crossing,
        RetryPolicy retryPolicy,
        AdmissionGate admission,
        CrashingContentGuard crashingContents,
        ConnectionPool targetConnections,
        ConnectionLivenessChecker livenessChecker,
        WireDialect dialect,
        ActiveAttempts activeAttempts,
        RelayMetrics metrics,
        HeldBytes heldBytes,
        StopDeadline stopDeadline,
        Scheduler scheduler,
        InstantSource clock,
        DoubleSupplier random,
        DecisionLog log) {

    public ExchangeDependencies {
        filters = List.copyOf(filters);
    }
}
