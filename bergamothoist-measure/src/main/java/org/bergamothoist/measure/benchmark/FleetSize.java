package org.bergamothoist.measure.benchmark;

/** Sizes at which placement is benchmarked. */
public enum FleetSize {
    /** One deployment of today. */
    TODAY(8, 1, 8),
    /** The fleet to design for. */
    FLEET(3_500, 29, 6_100);

    private final int targets;
    private final int models;
    private final int organisations;

    FleetSize(int targets, int models, int organisations) {
        this.targets = targets;
        this.models = models;
        this.organisations = organisations;
    }

    int targets() {
        return targets;
    }

    int models() {
        return models;
    }

    int organisations() {
        return organisations;
    }
}
