package org.bergamothoist.measure;

import java.util.Locale;

/** What happens in a run, and the load as a share of the calibrated capacity. */
public enum Scenario {
    /** Nothing special. */
    STEADY(0.6),
    /** Cold prefixes become hot, one after the other. */
    HOT_PREFIX_SHIFT(0.6),
    /** Two engines crash, one after the other, and come back empty. */
    ENGINE_CRASH(0.6),
    /** All daemons restart at the same time and lose their indexes. */
    DAEMON_RESTART_HERD(0.6),
    /** Cache events are lost in bursts. */
    EVENT_LOSS(0.6),
    /** Load of 70%. */
    LOAD_70(0.7),
    /** Load of 90%. */
    LOAD_90(0.9),
    /** Load of 110%. */
    LOAD_110(1.1);

    private final double load;

    Scenario(double load) {
        this.load = load;
    }

    /** Returns the load as a share of the capacity. */
    public double load() {
        return load;
    }

    /** Returns the name used in tables and on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
