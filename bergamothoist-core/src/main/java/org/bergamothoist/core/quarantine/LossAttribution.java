package org.bergamothoist.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the contents and parts that explain the losses of targets.
 *
 * <p>Of all that was lost repeatedly, it chooses as few as explain the losses but for coincidence,
 * beginning with what alone explains some of them. What is chosen and has reached the threshold is
 * quarantined; what is chosen below it still explains the losses of others. A harmless content may
 * reach the threshold first, beside several that crash targets, and is served once these were lost
 * without it.
 */
final class LossAttribution {

    /**
     * Number of losses above the threshold from which something is quarantined even if others
     * explain all of them: several that always run together may crash targets.
     */
    private static final int EXCESS_LOSSES = 2;

    /** Number of losses that may be coincidence if others explain all but these. */
    private static final int COINCIDENTAL_LOSSES = 1;

    /** Number of losses from which a content or part may explain those of others. */
    static final int REPEATED_LOSSES = 2;

    private final int threshold;
    private final List<Suspect> suspects;
    private final Map<TargetLoss, List<Suspect>> suspectsByLoss = new HashMap<>();
    private final Map<Suspect, Integer> ownLosses = new HashMap<>();

    /**
     * A content or part that was lost repeatedly.
     *
     * @param losses targets that were lost while they ran it
     * @param count how many of these losses are independent of each other
     */
    record Suspect(Fingerprint key, Set<TargetLoss> losses, int count) {

        private boolean coversAllOf(Suspect other) {
            return losses.size() >= other.losses.size() && losses.containsAll(other.losses);
        }

        private boolean coversAllButCoincidenceOf(Set<TargetLoss> others) {
            long missing = others.stream().filter(loss -> !losses.contains(loss)).count();
            return missing <= COINCIDENTAL_LOSSES;
        }
    }

    /**
     * Creates an attribution.
     *
     * @param threshold number of losses from which something is quarantined
     * @param suspects all that was lost {@value #REPEATED_LOSSES} times or more
     */
    LossAttribution(int threshold, List<Suspect> suspects) {
        this.threshold = threshold;
        this.suspects = suspects;
        for (Suspect suspect : suspects) {
            for (TargetLoss loss : suspect.losses()) {
                suspectsByLoss.computeIfAbsent(loss, key -> new ArrayList<>()).add(suspect);
            }
        }
        suspects.forEach(suspect -> ownLosses.put(suspect, countOwnLosses(suspect)));
    }

    /** Counts the losses that nothing explains but the suspect and what it covers entirely. */
    private int countOwnLosses(Suspect suspect) {
        return (int)
                suspect.losses().stream()
                        .map(suspectsByLoss::get)
                        .filter(others -> others.stream().allMatch(suspect::coversAllOf))
                        .count();
    }

    /**
     * Returns what to quarantine. Each set holds what cannot be told apart, because it was lost
     * together each time: requests that have all of a set in common are refused, and those with
     * some of it only are not.
     */
    Set<Set<Fingerprint>> quarantined() {
        Set<Suspect> chosen = choose();
        Set<Set<Fingerprint>> groups = new HashSet<>();
        for (Suspect suspect : suspects) {
            boolean blamed =
                    suspect.count() >= threshold + EXCESS_LOSSES
                            || suspect.count() >= threshold && chosen.contains(suspect);
            if (blamed) {
                groups.add(group(suspect, chosen));
            }
        }
        return groups;
    }

    private Set<Suspect> choose() {
        Set<Suspect> chosen = new HashSet<>();
        Set<TargetLoss> explained = new HashSet<>();
        Optional<Suspect> next = mostLikely(explained);
        while (next.isPresent()) {
            chosen.add(next.get());
            explained.addAll(next.get().losses());
            next = mostLikely(explained);
        }
        return chosen;
    }

    private Optional<Suspect> mostLikely(Set<TargetLoss> explained) {
        Map<Suspect, Integer> unexplained = new HashMap<>();
        for (Suspect suspect : suspects) {
            int count =
                    (int)
                            suspect.losses().stream()
                                    .filter(loss -> !explained.contains(loss))
                                    .count();
            if (count > COINCIDENTAL_LOSSES) {
                unexplained.put(suspect, count);
            }
        }
        // Contents go before parts: a content says more of the request that was lost.
        Comparator<Suspect> order =
                Comparator.<Suspect>comparingInt(ownLosses::get)
                        .thenComparingInt(unexplained::get)
                        .thenComparingInt(Suspect::count)
                        .thenComparing(Suspect::key, Comparator.reverseOrder());
        return unexplained.keySet().stream().max(order);
    }

    private Set<Fingerprint> group(Suspect suspect, Set<Suspect> chosen) {
        if (!suspect.key().isPart()) {
            return Set.of(suspect.key());
        }
        Set<TargetLoss> remaining = new HashSet<>(suspect.losses());
        chosen.stream()
                .filter(other -> !other.coversAllButCoincidenceOf(suspect.losses()))
                .forEach(other -> remaining.removeAll(other.losses()));
        Set<TargetLoss> toExplain =
                remaining.size() > COINCIDENTAL_LOSSES ? remaining : suspect.losses();
        Set<Fingerprint> group = new HashSet<>(Set.of(suspect.key()));
        suspects.stream()
                .filter(other -> other.key().isPart() && other.count() >= threshold)
                .filter(other -> other.coversAllButCoincidenceOf(toExplain))
                .forEach(other -> group.add(other.key()));
        return Set.copyOf(group);
    }
}
