package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.order.LeaseLog;

/** Reads and appends leases through this daemon's log client. Confined to the control thread. */
final class NodeLeaseLog implements LeaseLog {

    private final SharedLog log;
    private final Supplier<ConfigurationState> configuration;
    private final Duration deadline;

    /**
     * Creates the lease log.
     *
     * @param configuration current state of the configuration
     * @param deadline time after which an unconfirmed append fails
     */
    NodeLeaseLog(SharedLog log, Supplier<ConfigurationState> configuration, Duration deadline) {
        this.log = log;
        this.configuration = configuration;
        this.deadline = deadline;
    }

    @Override
    public Optional<LeaseState> lease(String resource) {
        return log.state().lease(resource);
    }

    @Override
    public boolean isUpToDate() {
        return configuration.get() == ConfigurationState.FRESH && log.tail().isReachable();
    }

    @Override
    public CompletionStage<Long> append(LogRecord record) {
        return log.appender().append(record, deadline);
    }
}
