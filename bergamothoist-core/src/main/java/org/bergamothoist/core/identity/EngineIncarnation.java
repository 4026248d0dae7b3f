package org.bergamothoist.core.identity;

/**
 * Identifies one run of an engine with one set of loaded weights. The engine reports a new value
 * after each start and each weight load, since both invalidate its prefix cache.
 */
public record EngineIncarnation(String value) {

    /** Incarnation of an engine that has not reported one yet. */
    public static final EngineIncarnation UNKNOWN = new EngineIncarnation("unknown");

    public EngineIncarnation {
        Identifiers.require("engine incarnation", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
