package org.bergamothoist.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions of each model's weights that operators requested, with the times at which this
 * daemon received them. Confined to the control thread.
 */
public final class DesiredWeightVersions {

    /**
     * Time after the start of this daemon in which it reads versions that were requested earlier.
     */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(4);

    private final InstantSource clock;
    private final Duration assumedAge;
    private final Instant startedAt;
    private final Map<String, TreeMap<Integer, Instant>> receivedAtByModel = new HashMap<>();

    /**
     * Creates an empty set of versions.
     *
     * @param assumedAge assumed age of versions that are received right after the start
     */
    public DesiredWeightVersions(InstantSource clock, Duration assumedAge) {
        this.clock = clock;
        this.assumedAge = assumedAge;
        this.startedAt = clock.instant();
    }

    /** Adds a version that was requested just now, like {@link #add(String, int, Instant)}. */
    public boolean add(String model, int version) {
        return add(model, version, clock.instant());
    }

    /**
     * Adds a version if it is newer than the known ones of its model; returns whether it is.
     *
     * @param requestedSince earliest time at which it can have been requested
     */
    public boolean add(String model, int version, Instant requestedSince) {
        TreeMap<Integer, Instant> known =
                receivedAtByModel.computeIfAbsent(model, key -> new TreeMap<>());
        if (!known.isEmpty() && known.lastKey() >= version) {
            return false;
        }
        Instant now = clock.instant();
        boolean requestedBeforeStart = now.isBefore(startedAt.plus(STARTUP_PERIOD));
        known.put(version, requestedBeforeStart ? now.minus(assumedAge) : requestedSince);
        return true;
    }

    /**
     * Returns when the first version newer than the given one was requested, or empty if none was.
     */
    public Optional<Instant> outdatedSince(String model, int version) {
        return Optional.ofNullable(receivedAtByModel.get(model))
                .map(known -> known.higherEntry(version))
                .map(Map.Entry::getValue);
    }

    /** Returns the newest requested version by model. */
    public Map<String, Integer> newestVersions() {
        Map<String, Integer> versions = new HashMap<>();
        receivedAtByModel.forEach((model, known) -> versions.put(model, known.lastKey()));
        return versions;
    }
}
