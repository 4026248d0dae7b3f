package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Lets single requests with a refused part through, since nothing else could show that the part is
 * harmless. Few may be sent: if the part is not, each of them ends a target. Confined to the
 * control thread.
 */
public final class PartProbes {

    /** Time after the newest loss of a part until its first probe. */
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(10);

    /** Factor by which the pause grows with each probe that has not cleared the part. */
    private static final int PAUSE_GROWTH = 3;

    private static final int MAXIMUM_PROBES = 3;

    /**
     * Losses from which a part is not probed any more, whichever daemon saw them; several targets
     * that end together count once.
     */
    private static final int MAXIMUM_LOSSES = 6;

    private static final int MAXIMUM_PARTS = 1_000;

    private final GossipQuarantine quarantine;
    private final BooleanSupplier probing;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<Set<Fingerprint>, Begun> begun =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Set<Fingerprint>, Begun> eldest) {
                    return size() > MAXIMUM_PARTS;
                }
            };

    /** The probes of one part, or of several that cannot be told apart. */
    private record Begun(int count, Instant lastAt) {

        private static final Begun NONE = new Begun(0, Instant.MIN);
    }

    /**
     * Creates probes.
     *
     * @param probing whether this daemon is the one that sends probes; others only refuse
     */
    public PartProbes(
            GossipQuarantine quarantine,
            BooleanSupplier probing,
            InstantSource clock,
            DecisionLog log) {
        this.quarantine = quarantine;
        this.probing = probing;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns whether a refused request is sent as a probe now.
     *
     * @param refusedFor the parts for which it is refused
     */
    public boolean tryBegin(RequestKeys keys, Set<Fingerprint> refusedFor) {
        boolean allowed =
                refusedFor.stream().allMatch(Fingerprint::isPart)
                        && hasNoOtherSuspect(refusedFor, keys)
                        && refusedFor.stream().noneMatch(this::hasLostTooMany)
                        && probing.getAsBoolean();
        if (!allowed) {
            return false;
        }
        Begun before = begun.getOrDefault(refusedFor, Begun.NONE);
        Instant now = clock.instant();
        if (before.count() >= MAXIMUM_PROBES || now.isBefore(dueAt(refusedFor, before))) {
            return false;
        }
        begun.put(Set.copyOf(refusedFor), new Begun(before.count() + 1, now));
        log.write(
                DecisionKind.CONTENT_SUSPECTED,
                refusedFor.iterator().next().abbreviated(),
                () -> "probes=" + (before.count() + 1),
                "one request is sent to find out whether the part is harmless");
        return true;
    }

    /** A probe with something else that may crash its target would show nothing of the part. */
    private boolean hasNoOtherSuspect(Set<Fingerprint> refusedFor, RequestKeys keys) {
        return keys.all().stream()
                .filter(key -> !refusedFor.contains(key))
                .noneMatch(quarantine::isSuspect);
    }

    private boolean hasLostTooMany(Fingerprint part) {
        return quarantine.lossCount(part) >= MAXIMUM_LOSSES;
    }

    private Instant dueAt(Set<Fingerprint> parts, Begun before) {
        Instant newest =
                parts.stream()
                        .flatMap(part -> quarantine.losses(part).stream())
                        .map(SuspectContents.Loss::at)
                        .max(Comparator.naturalOrder())
                        .orElse(Instant.MIN);
        Instant since = newest.isAfter(before.lastAt()) ? newest : before.lastAt();
        long growth = Math.round(Math.pow(PAUSE_GROWTH, before.count()));
        return since.plus(FIRST_PAUSE.multipliedBy(growth));
    }
}
