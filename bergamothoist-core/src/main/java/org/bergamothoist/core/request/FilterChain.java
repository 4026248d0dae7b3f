package org.bergamothoist.core.request;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/**
 * Applies filters in order.
 *
 * @param <E> kind of exchange
 */
public final class FilterChain<E extends RequestExchange> {

    private static final Logger LOGGER = LogManager.getLogger(FilterChain.class);

    private final List<RequestFilter<? super E>> filters;

    /** Creates a chain; the last filter need not proceed. */
    public FilterChain(List<RequestFilter<? super E>> filters) {
        this.filters = List.copyOf(filters);
    }

    /** Sends the exchange through all filters. */
    public void handle(E exchange) {
        applyFrom(0, exchange);
    }

    private void applyFrom(int index, E exchange) {
        if (exchange.finished() || index == filters.size()) {
            return;
        }
        try {
            filters.get(index).apply(exchange, () -> applyFrom(index + 1, exchange));
        } catch (BergamothoistException exception) {
            if (exception.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw exception;
            }
            exchange.fail(exception.code(), exception.getMessage());
        } catch (RuntimeException exception) {
            LOGGER.error("request {} failed in a filter", exchange.id(), exception);
            exchange.fail(ErrorCode.INTERNAL, "the daemon failed to handle the request");
        }
    }
}
