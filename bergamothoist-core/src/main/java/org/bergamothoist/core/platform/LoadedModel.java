package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.ModelKey;

/** A model that an engine has loaded or is loading. */
public record LoadedModel(ModelKey key, State state) {

    /** Progress of loading. */
    public enum State {
        /** The weights are being loaded. */
        LOADING,
        /** The model can serve requests. */
        READY
    }
}
