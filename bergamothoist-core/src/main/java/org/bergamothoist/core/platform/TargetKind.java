package org.bergamothoist.core.platform;

/** The kind of a target. */
public enum TargetKind {
    /** A model engine. */
    MODEL_ENGINE,
    /** A plain service. */
    PLAIN_SERVICE
}
