package org.bergamothoist.gateway.caller;

import java.time.InstantSource;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.relay.AdmissionPolicy;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * What every exchange uses.
 *
 * @param random draws numbers from 0 to 1
 */
public record ExchangeServices(
        List<RequestFilter> filters,
        Dispatcher dispatcher,
        RetryPolicy attemptPolicy,
        AdmissionPolicy admissionPolicy,
        ConnectionPool targetConnections,
        WireDialect dialect,
        ActiveAttempts activeAttempts,
        RelayMetrics metrics,
        Scheduler scheduler,
        InstantSource clock,
        DoubleSupplier random,
        DecisionLog log) {

    public ExchangeServices {
        filters = List.copyOf(filters);
    }
}
