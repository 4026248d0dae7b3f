package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.rollout.WeightOrder;

/** Sends orders to load weights to engines and reads their state. */
public interface EngineOrderClient {

    /** Result of an order. */
    enum OrderResult {
        /** The engine has accepted the order and loads the weights. */
        ACCEPTED,
        /** The engine already has the weights. */
        ALREADY_HOLDS,
        /**
         * Another order is in progress, or the number of accepted orders differs from the expected
         * one.
         */
        CONFLICT,
        /** The engine has seen a higher fencing number. */
        FENCED,
        /** Another target than the addressed one responded. */
        OTHER_INSTANCE,
        /** The order is not valid. */
        INVALID
    }

    /**
     * The state of an engine.
     *
     * @param acceptedOrders number of orders that the engine's incarnation has accepted
     * @param busy whether an order is in progress
     * @param weightVersion version of the model's weights, or 0 if the engine does not serve it
     */
    record EngineReport(long acceptedOrders, boolean busy, int weightVersion) {}

    /**
     * Orders an engine to load weights. If it completes exceptionally, the engine may or may not
     * carry out the order, or may do so later.
     *
     * @param holder name of the daemon that holds the lease for orders
     * @param fencingNumber fencing number of that lease; engines refuse orders with a lower number
     *     than they have seen
     * @param expectedOrders number of orders that the engine is expected to have accepted so far
     * @param sendWithin time after which the order must not be sent any more, because another
     *     daemon may take over the lease
     */
    CompletionStage<OrderResult> order(
            WeightOrder order,
            String holder,
            long fencingNumber,
            long expectedOrders,
            Duration sendWithin);

    /** Reads the state of an engine; completes exceptionally if the call fails. */
    CompletionStage<EngineReport> report(RegisteredTarget engine, String model);
}
