package org.bergamothoist.core.fleet;

/** Cost of sending a request to a target in another data centre. */
@FunctionalInterface
public interface DataCentreCrossing {

    /**
     * Cost to plain services while no time in a slot is known, in fully loaded targets: less than
     * one of a target's six slots.
     */
    double STANDARD_COST_IN_LOADED_TARGETS = 0.1;

    /**
     * Returns the cost in milliseconds of waiting.
     *
     * @param target a target in another data centre than this daemon's
     */
    double costMilliseconds(String service, RegisteredTarget target);

    /** Returns the same cost in fully loaded targets, the unit in which plain services compare. */
    default double costInLoadedTargets(String service, RegisteredTarget target) {
        return STANDARD_COST_IN_LOADED_TARGETS;
    }
}
