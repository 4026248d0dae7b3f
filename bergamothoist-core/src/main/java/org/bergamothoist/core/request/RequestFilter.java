package org.bergamothoist.core.request;

/**
 * A step of the filter chain. It either finishes the exchange or passes it on, immediately or later
 * on the control thread.
 *
 * @param <E> type of exchange that the filter handles
 */
@FunctionalInterface
public interface RequestFilter<E extends RequestExchange> {

    /**
     * Handles the exchange.
     *
     * @param proceed passes the exchange on to the next filter; called at most once
     */
    void apply(E exchange, Runnable proceed);
}
