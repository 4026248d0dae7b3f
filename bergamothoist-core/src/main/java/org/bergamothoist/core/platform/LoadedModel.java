package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.ModelKey;

/** A model on an engine. */
public record LoadedModel(ModelKey key, State state) {

    /** How far the engine is. */
    public enum State {
        /** The weights are being loaded. */
        LOADING,
        /** The model answers. */
        READY
    }
}
