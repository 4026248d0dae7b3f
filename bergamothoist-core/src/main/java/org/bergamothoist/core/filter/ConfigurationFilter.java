package org.bergamothoist.core.filter;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.RequestFilter;

/** Refuses requests while the configuration is missing or outdated or the daemon is stopping. */
public final class ConfigurationFilter implements RequestFilter<RequestExchange> {

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<ConfigurationState> configuration;
    private final BooleanSupplier accepting;

    /**
     * Creates a filter.
     *
     * @param accepting false once the daemon has begun a planned stop
     */
    public ConfigurationFilter(
            Supplier<ConfigurationState> configuration, BooleanSupplier accepting) {
        this.configuration = configuration;
        this.accepting = accepting;
    }

    @Override
    public void apply(RequestExchange exchange, Runnable proceed) {
        if (!accepting.getAsBoolean()) {
            refuse(exchange, ErrorCode.STOPPING, "the daemon is stopping; use another address");
            return;
        }
        switch (configuration.get()) {
            case NONE ->
                    refuse(exchange, ErrorCode.NOT_READY, "the daemon has no configuration yet");
            case STALE ->
                    refuse(
                            exchange,
                            ErrorCode.CONFIGURATION_STALE,
                            "the daemon cannot confirm that its configuration is current");
            default -> proceed.run();
        }
    }

    private static void refuse(RequestExchange exchange, ErrorCode code, String message) {
        exchange.finish(new Outcome.NotRun(code, message, RETRY_AFTER));
    }
}
