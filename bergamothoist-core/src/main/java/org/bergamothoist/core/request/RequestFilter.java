package org.bergamothoist.core.request;

/**
 * A step on the way of a request. It either ends the exchange or lets it proceed, at once or later
 * on the control thread.
 *
 * @param <E> kind of exchange that the filter handles
 */
@FunctionalInterface
public interface RequestFilter<E extends RequestExchange> {

    /** Handles the exchange. */
    void apply(E exchange, Runnable proceed);
}
