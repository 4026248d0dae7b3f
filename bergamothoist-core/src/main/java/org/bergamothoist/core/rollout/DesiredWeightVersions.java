package org.bergamothoist.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions of each model's weights that operators requested, with the earliest times at which
 * they can have been requested. Confined to the control thread.
 */
public final class DesiredWeightVersions {

    /** Number of versions of a model whose dates other daemons are told. */
    private static final int MAXIMUM_KNOWN_DATES = 32;

    private final InstantSource clock;
    private final Duration assumedAge;
    private final Map<String, TreeMap<Integer, VersionDate>> datesByModel = new HashMap<>();

    /**
     * Creates an empty set of versions.
     *
     * @param assumedAge assumed age of versions whose time of request is unknown
     */
    public DesiredWeightVersions(InstantSource clock, Duration assumedAge) {
        this.clock = clock;
        this.assumedAge = assumedAge;
    }

    /**
     * When a version was requested.
     *
     * @param requestedSince earliest time at which it can have been requested
     * @param assumed whether that time is only assumed
     */
    public record VersionDate(String model, int version, Instant requestedSince, boolean assumed) {}

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
        TreeMap<Integer, VersionDate> known =
                datesByModel.computeIfAbsent(model, key -> new TreeMap<>());
        if (!known.isEmpty() && known.lastKey() >= version) {
            return false;
        }
        boolean assumed = requestedSince.isEmpty();
        Instant since = requestedSince.orElseGet(() -> clock.instant().minus(assumedAge));
        known.put(version, new VersionDate(model, version, since, assumed));
        return true;
    }

    /**
     * Replaces the assumed time of a version's request by one that another daemon knows. Also adds
     * versions that were followed by newer ones before this daemon started. Versions that are newer
     * than the known ones are ignored, since only operators' records name them. Returns whether a
     * date was added or replaced.
     *
     * @param requestedSince earliest time at which it can have been requested
     */
    public boolean refine(String model, int version, Instant requestedSince) {
        TreeMap<Integer, VersionDate> known = datesByModel.get(model);
        if (known == null || version > known.lastKey()) {
            return false;
        }
        VersionDate before = known.get(version);
        if (before != null && !before.assumed()) {
            return false;
        }
        if (before != null && requestedSince.isAfter(before.requestedSince())) {
            // Unknown versions before this one may have been requested as early as assumed.
            known.putIfAbsent(
                    version - 1,
                    new VersionDate(model, version - 1, before.requestedSince(), true));
        }
        known.put(version, new VersionDate(model, version, requestedSince, false));
        return true;
    }

    /**
     * Like {@link #refine} for a time by the clock of another daemon, which may be ahead: the
     * version does not become younger than assumed.
     */
    public boolean refineByOtherClock(String model, int version, Instant requestedSince) {
        Instant assumed = clock.instant().minus(assumedAge);
        TreeMap<Integer, VersionDate> known = datesByModel.getOrDefault(model, new TreeMap<>());
        Instant latest =
                Optional.ofNullable(known.get(version))
                        .map(VersionDate::requestedSince)
                        .orElse(assumed);
        return refine(model, version, requestedSince.isBefore(latest) ? requestedSince : latest);
    }

    /** Returns the dates of the newest versions of each model that are not assumed. */
    public List<VersionDate> knownDates() {
        return datesByModel.values().stream()
                .flatMap(
                        known ->
                                known.descendingMap().values().stream()
                                        .filter(date -> !date.assumed())
                                        .limit(MAXIMUM_KNOWN_DATES))
                .toList();
    }

    /** Returns whether a time of request after the instant is only assumed. */
    public boolean hasAssumedDateAfter(Instant instant) {
        return datesByModel.values().stream()
                .flatMap(known -> known.values().stream())
                .anyMatch(date -> date.assumed() && date.requestedSince().isAfter(instant));
    }

    /**
     * Returns when the first version newer than the given one was requested, or empty if none was.
     */
    public Optional<Instant> outdatedSince(String model, int version) {
        return Optional.ofNullable(datesByModel.get(model))
                .map(known -> known.higherEntry(version))
                .map(entry -> entry.getValue().requestedSince());
    }

    /** Returns the newest requested version by model. */
    public Map<String, Integer> newestVersions() {
        Map<String, Integer> versions = new HashMap<>();
        datesByModel.forEach((model, known) -> versions.put(model, known.lastKey()));
        return versions;
    }
}
