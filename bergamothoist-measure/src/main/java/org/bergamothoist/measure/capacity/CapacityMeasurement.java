package org.bergamothoist.measure.capacity;

import java.util.List;

/** Measures the slopes that {@code docs/CAPACITY.md} is worked out from. */
public final class CapacityMeasurement {

    private CapacityMeasurement() {}

    /** Returns all slopes; takes some seconds of processor time. */
    public static List<Slope> measure() {
        Meter meter = new Meter();
        new StateSlopes(meter).measure();
        new RequestSlopes(meter).measure();
        new ClaimSlopes(meter).measure();
        new PeerSlopes(meter).measure();
        new PlacementSlopes(meter).measure();
        return meter.slopes();
    }
}
