package org.bergamothoist.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions of each model's weights that operators requested, with the earliest times at which
 * they can have been requested. Confined to the control thread.
 */
public final class DesiredWeightVersions {

    private final InstantSource clock;
    private final Duration assumedAge;
    private final Map<String, TreeMap<Integer, Instant>> requestedSinceByModel = new HashMap<>();

    /**
     * Creates an empty set of versions.
     *
     * @param assumedAge assumed age of versions whose time of request is unknown
     */
    public DesiredWeightVersions(InstantSource clock, Duration assumedAge) {
        this.clock = clock;
        this.assumedAge = assumedAge;
    }

    /** Adds a version that was requested just now, like {@link #add(String, int, Optional)}. */
    public boolean add(String model, int version) {
        return add(model, version, Optional.of(clock.instant()));
    }

    /**
     * Adds a version if it is newer than the known ones of its model; returns whether it is.
     *
     * @param requestedSince earliest time at which it can have been requested, or empty if unknown
     */
    public boolean add(String model, int version, Optional<Instant> requestedSince) {
        TreeMap<Integer, Instant> known =
                requestedSinceByModel.computeIfAbsent(model, key -> new TreeMap<>());
        if (!known.isEmpty() && known.lastKey() >= version) {
            return false;
        }
        known.put(version, requestedSince.orElseGet(() -> clock.instant().minus(assumedAge)));
        return true;
    }

    /**
     * Returns when the first version newer than the given one was requested, or empty if none was.
     */
    public Optional<Instant> outdatedSince(String model, int version) {
        return Optional.ofNullable(requestedSinceByModel.get(model))
                .map(known -> known.higherEntry(version))
                .map(Map.Entry::getValue);
    }

    /** Returns the newest requested version by model. */
    public Map<String, Integer> newestVersions() {
        Map<String, Integer> versions = new HashMap<>();
        requestedSinceByModel.forEach((model, known) -> versions.put(model, known.lastKey()));
        return versions;
    }
}
