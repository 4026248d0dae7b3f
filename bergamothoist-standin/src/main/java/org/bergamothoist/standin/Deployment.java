package org.bergamothoist.standin;

import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/**
 * Sizes and names of a deployment.
 *
 * @param engineGroup group of the model engines
 * @param engines number of model engines
 * @param serviceGroup group of the plain services
 * @param services number of plain services
 * @param cacheStore name of the KV cache store
 * @param model model that the engines have loaded at the start
 */
public record Deployment(
        String name,
        String region,
        List<String> dataCentres,
        String engineGroup,
        int engines,
        String serviceGroup,
        int services,
        String cacheStore,
        ModelKey model) {

    /** Brunner & Söhne. */
    public static final Deployment BRUNNER =
            new Deployment(
                    "brunner",
                    "ch-west",
                    List.of("biel-a", "bern-b", "neuchatel-c", "solothurn-d"),
                    "atelier-llm",
                    8,
                    "werkbank-app",
                    4,
                    "prompt-archive",
                    new ModelKey("atelier-llm", ModelKey.NO_ADAPTER, "1"));

    /** Al-Harthy Candle Refills. */
    public static final Deployment AL_HARTHY =
            new Deployment(
                    "al-harthy",
                    "muscat",
                    List.of("muscat-a", "muscat-b", "muscat-c"),
                    "lamp-models",
                    6,
                    "refill-desk",
                    3,
                    "wick-memory",
                    new ModelKey("lamp-models", ModelKey.NO_ADAPTER, "1"));

    public Deployment {
        dataCentres = List.copyOf(dataCentres);
    }

    /** Returns the data centre of the VM with this index; VMs are spread in turn. */
    public String dataCentre(int index) {
        return dataCentres.get(index % dataCentres.size());
    }
}
