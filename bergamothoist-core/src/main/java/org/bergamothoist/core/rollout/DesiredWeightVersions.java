package org.bergamothoist.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions of each model's weights that operators named, with the times at which this daemon
 * learnt of them. Confined to the control thread.
 */
public final class NamedWeights {

    /** Time after the start in which versions are learnt that were named before. */
    private static final Duration START = Duration.ofSeconds(4);

    /** Age that such a version is taken to have: about half of the time in which all are loaded. */
    private static final Duration ASSUMED_AGE = Duration.ofSeconds(8);

    private final InstantSource clock;
    private final Instant startedAt;
    private final Map<String, TreeMap<Integer, Instant>> namings = new HashMap<>();

    /** Creates an empty table. */
    public NamedWeights(InstantSource clock) {
        this.clock = clock;
        this.startedAt = clock.instant();
    }

    /** Takes a version over if it is newer than the known ones; returns whether it is. */
    public boolean name(String model, int version) {
        TreeMap<Integer, Instant> known = namings.computeIfAbsent(model, name -> new TreeMap<>());
        if (!known.isEmpty() && known.lastKey() >= version) {
            return false;
        }
        Instant now = clock.instant();
        boolean namedBefore = now.isBefore(startedAt.plus(START));
        known.put(version, namedBefore ? now.minus(ASSUMED_AGE) : now);
        return true;
    }

    /** Returns when the first version after the given one was named, or empty if none was. */
    public Optional<Instant> outdatedSince(String model, int version) {
        return Optional.ofNullable(namings.get(model))
                .map(known -> known.higherEntry(version))
                .map(Map.Entry::getValue);
    }

    /** Returns the newest version of each model. */
    public Map<String, Integer> versions() {
        Map<String, Integer> versions = new HashMap<>();
        namings.forEach((model, known) -> versions.put(model, known.lastKey()));
        return versions;
    }
}
