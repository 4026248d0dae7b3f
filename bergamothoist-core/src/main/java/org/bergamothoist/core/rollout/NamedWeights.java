package org.bergamothoist.core.rollout;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** The newest named version of each model's weights. Confined to the control thread. */
public final class NamedWeights {

    private final InstantSource clock;
    private final Map<String, Naming> newest = new HashMap<>();

    /** Creates an empty table. */
    public NamedWeights(InstantSource clock) {
        this.clock = clock;
    }

    private record Naming(int version, Instant at) {}

    /** Takes a version over if it is newer than the known one; returns whether it is. */
    public boolean name(String model, int version) {
        Naming known = newest.get(model);
        if (known != null && known.version() >= version) {
            return false;
        }
        newest.put(model, new Naming(version, clock.instant()));
        return true;
    }

    /** Returns the newest version of a model, or empty if none was named. */
    public OptionalInt newest(String model) {
        Naming known = newest.get(model);
        return known == null ? OptionalInt.empty() : OptionalInt.of(known.version());
    }

    /** Returns when the newest version of a model became known. */
    public Optional<Instant> namedAt(String model) {
        return Optional.ofNullable(newest.get(model)).map(Naming::at);
    }

    /** Returns the models with a named version. */
    public Map<String, Integer> versions() {
        Map<String, Integer> versions = new HashMap<>();
        newest.forEach((model, naming) -> versions.put(model, naming.version()));
        return versions;
    }
}
