package org.bergamothoist.core.request;

import java.util.List;

/**
 * Applies filters in order.
 *
 * @param <E> kind of exchange
 */
public final class FilterChain<E extends RequestExchange> {

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
        filters.get(index).apply(exchange, () -> applyFrom(index + 1, exchange));
    }
}
