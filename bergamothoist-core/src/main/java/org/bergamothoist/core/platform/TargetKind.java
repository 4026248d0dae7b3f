package org.bergamothoist.core.platform;

/** What a target runs. */
public enum TargetKind {
    /** A model engine. */
    MODEL_ENGINE,
    /** A plain service. */
    PLAIN_SERVICE
}
