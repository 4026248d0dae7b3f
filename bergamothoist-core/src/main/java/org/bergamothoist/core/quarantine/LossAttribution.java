package org.bergamothoist.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

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

    /** Sorted by key: contents go before parts, since a content says more of what was lost. */
    private final List<Suspect> suspects;

    private final Map<TargetLoss, List<Integer>> suspectsByLoss = new HashMap<>();

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
        this.suspects = suspects.stream().sorted(Comparator.comparing(Suspect::key)).toList();
        for (int index = 0; index < this.suspects.size(); index++) {
            for (TargetLoss loss : this.suspects.get(index).losses()) {
                suspectsByLoss.computeIfAbsent(loss, key -> new ArrayList<>()).add(index);
            }
        }
    }

    /**
     * Returns what to quarantine. Each set holds what cannot be told apart, because it was lost
     * together each time: requests that have all of a set in common are refused, and those with
     * some of it only are not.
     */
    Set<Set<Fingerprint>> quarantined() {
        boolean[] chosen = choose();
        Set<Set<Fingerprint>> groups = new HashSet<>();
        for (int index = 0; index < suspects.size(); index++) {
            int count = suspects.get(index).count();
            if (count >= threshold + EXCESS_LOSSES && !isCommon(index)
                    || count >= threshold && chosen[index]) {
                groups.add(group(index, chosen));
            }
        }
        return groups;
    }

    /**
     * Returns whether a part is common to several requests that crash targets, which explain its
     * losses: too few remain that are not those of contents and other parts that are lost only
     * together with it, and that have reached the threshold.
     */
    private boolean isCommon(int index) {
        Suspect part = suspects.get(index);
        if (!part.key().isPart()) {
            return false;
        }
        Set<TargetLoss> remaining = new HashSet<>(part.losses());
        for (int other : sharingLosses(part)) {
            if (other != index && isLostOnlyWith(suspects.get(other), part)) {
                remaining.removeAll(suspects.get(other).losses());
            }
        }
        return remaining.size() < threshold && remaining.size() < part.losses().size();
    }

    /** Returns whether another suspect is lost only together with a part, but not each time. */
    private boolean isLostOnlyWith(Suspect other, Suspect part) {
        boolean distinguishable =
                !other.key().isPart() || !other.coversAllButCoincidenceOf(part.losses());
        return other.count() >= threshold && distinguishable && part.coversAllOf(other);
    }

    private Set<Integer> sharingLosses(Suspect suspect) {
        Set<Integer> sharing = new HashSet<>();
        suspect.losses().forEach(loss -> sharing.addAll(suspectsByLoss.get(loss)));
        return sharing;
    }

    private boolean[] choose() {
        boolean[] chosen = new boolean[suspects.size()];
        int[] ownLosses = new int[suspects.size()];
        int[] unexplained = new int[suspects.size()];
        for (int index = 0; index < suspects.size(); index++) {
            ownLosses[index] = countOwnLosses(suspects.get(index));
            unexplained[index] = isCommon(index) ? 0 : suspects.get(index).losses().size();
        }
        Set<TargetLoss> explained = new HashSet<>();
        int next = mostLikely(ownLosses, unexplained);
        while (next >= 0) {
            chosen[next] = true;
            for (TargetLoss loss : suspects.get(next).losses()) {
                if (explained.add(loss)) {
                    suspectsByLoss.get(loss).forEach(index -> unexplained[index]--);
                }
            }
            next = mostLikely(ownLosses, unexplained);
        }
        return chosen;
    }

    /** Counts the losses that nothing explains but the suspect and what it covers entirely. */
    private int countOwnLosses(Suspect suspect) {
        int count = 0;
        for (TargetLoss loss : suspect.losses()) {
            boolean own =
                    suspectsByLoss.get(loss).stream()
                            .map(suspects::get)
                            .allMatch(suspect::coversAllOf);
            count += own ? 1 : 0;
        }
        return count;
    }

    /** Returns the index of the suspect that explains most, or -1 if the rest is coincidence. */
    private int mostLikely(int[] ownLosses, int[] unexplained) {
        int best = -1;
        for (int index = 0; index < suspects.size(); index++) {
            if (unexplained[index] > COINCIDENTAL_LOSSES
                    && (best < 0 || explainsMore(index, best, ownLosses, unexplained))) {
                best = index;
            }
        }
        return best;
    }

    private boolean explainsMore(int index, int best, int[] ownLosses, int[] unexplained) {
        if (ownLosses[index] != ownLosses[best]) {
            return ownLosses[index] > ownLosses[best];
        }
        if (unexplained[index] != unexplained[best]) {
            return unexplained[index] > unexplained[best];
        }
        return suspects.get(index).count() > suspects.get(best).count();
    }

    private Set<Fingerprint> group(int blamed, boolean[] chosen) {
        Suspect suspect = suspects.get(blamed);
        if (!suspect.key().isPart()) {
            return Set.of(suspect.key());
        }
        Set<Integer> sharing = sharingLosses(suspect);
        Set<TargetLoss> remaining = new HashSet<>(suspect.losses());
        for (int index : sharing) {
            Suspect other = suspects.get(index);
            if (chosen[index] && !other.coversAllButCoincidenceOf(suspect.losses())) {
                remaining.removeAll(other.losses());
            }
        }
        Set<TargetLoss> toExplain =
                remaining.size() > COINCIDENTAL_LOSSES ? remaining : suspect.losses();
        return sharing.stream()
                .filter(
                        index ->
                                index == blamed
                                        || isIndistinguishable(suspects.get(index), toExplain))
                .map(index -> suspects.get(index).key())
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isIndistinguishable(Suspect other, Set<TargetLoss> losses) {
        return other.key().isPart()
                && other.count() >= threshold
                && other.coversAllButCoincidenceOf(losses);
    }
}
