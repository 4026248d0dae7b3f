package org.bergamothoist.gateway.caller;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.relay.AdmissionPolicy;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.buffer.HeldBytes;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Components of the daemon that all exchanges share.
 *
 * @param stopsAt when the daemon ends whatever is in progress, if it is stopping
 * @param random supplies uniformly distributed numbers from 0 to 1
 */
public record ExchangeDependencies(
        List<PreDispatchFilter> filters,
        TargetSelector targetSelector,
        RetryPolicy retryPolicy,
        AdmissionPolicy admissionPolicy,
        CrashingContentGuard crashingContents,
        ConnectionPool targetConnections,
        WireDialect dialect,
        ActiveAttempts activeAttempts,
        RelayMetrics metrics,
        HeldBytes heldBytes,
        AnswerTimes answerTimes,
        Supplier<Optional<Instant>> stopsAt,
        Scheduler scheduler,
        InstantSource clock,
        DoubleSupplier random,
        DecisionLog log) {

    public ExchangeDependencies {
        filters = List.copyOf(filters);
    }
}
