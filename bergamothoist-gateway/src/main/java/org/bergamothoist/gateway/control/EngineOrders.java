package org.bergamothoist.gateway.control;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.rollout.WeightOrder;

/** Orders to engines, and what engines report about them. */
public interface EngineOrders {

    /** How an engine answered an order. */
    enum Answer {
        /** The order is being carried out. */
        ACCEPTED,
        /** The engine already has the weights. */
        ALREADY_HOLDS,
        /** Another order is in progress, or the number of orders differs from the expected one. */
        CONFLICT,
        /** The engine has seen a higher fencing number. */
        FENCED,
        /** Another incarnation answered. */
        OTHER_INSTANCE,
        /** The order is not valid. */
        INVALID
    }

    /**
     * The state of an engine.
     *
     * @param orders orders that the incarnation has accepted
     * @param busy whether an order is in progress
     * @param version version of the model's weights, or 0
     */
    record EngineReport(long orders, boolean busy, int version) {}

    /**
     * Orders new weights; a failure leaves open whether the order is or will be carried out.
     *
     * @param holder name of the ordering daemon
     * @param expectedOrders orders that the engine is expected to have accepted so far
     */
    CompletionStage<Answer> order(
            WeightOrder order, String holder, long fencingNumber, long expectedOrders);

    /** Asks an engine for its state. */
    CompletionStage<EngineReport> report(RegisteredTarget engine, String model);
}
