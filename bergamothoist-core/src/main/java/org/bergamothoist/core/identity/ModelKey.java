package org.bergamothoist.core.identity;

/**
 * Identifies a model, its adapter and the version of its weights.
 *
 * @param adapter name of the adapter, {@value #NO_ADAPTER} for the base model
 */
public record ModelKey(String model, String adapter, String version) {

    /** Adapter name of the base model. */
    public static final String NO_ADAPTER = "base";

    public ModelKey {
        Identifiers.require("model", model);
        Identifiers.require("adapter", adapter);
        Identifiers.require("version", version);
    }

    @Override
    public String toString() {
        return model + "/" + adapter + "/" + version;
    }
}
