package org.bergamothoist.core.request;

import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/**
 * Applies request filters in order and turns exceptions into outcomes.
 *
 * @param <E> type of exchange
 */
public final class FilterChain<E extends RequestExchange> {

    private static final Logger LOGGER = LogManager.getLogger(FilterChain.class);

    private final List<RequestFilter<? super E>> filters;

    /** Creates a chain. The last filter has no successor, so it need not call {@code proceed}. */
    public FilterChain(List<RequestFilter<? super E>> filters) {
        this.filters = List.copyOf(filters);
    }

    /**
     * Passes the exchange through the filters until one of them finishes it.
     *
     * @throws BergamothoistException only if its code is {@link ErrorCode#INVARIANT_VIOLATED}; any
     *     other exception of a filter fails the exchange
     */
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
            LOGGER.error(
                    "request {} failed: unexpected exception in a request filter",
                    exchange.id(),
                    exception);
            exchange.fail(ErrorCode.INTERNAL, "the daemon failed to handle the request");
        }
    }
}
