package org.bergamothoist.core.quarantine;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
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

    /** By the index of each suspect; those that were lost together each time share one. */
    private final List<LossPattern> patterns;

    private final List<LossPattern> distinctPatterns;

    /** The patterns that contain each loss, by the index of the loss. */
    private final List<List<LossPattern>> patternsByLoss = new ArrayList<>();

    /**
     * A content or part that was lost repeatedly.
     *
     * @param losses targets that were lost while they ran it
     * @param count how many of these losses are independent of each other
     */
    record Suspect(Fingerprint key, Set<TargetLoss> losses, int count) {}

    /** The losses of suspects that were lost together each time. */
    private static final class LossPattern {

        private final BitSet losses;
        private final int size;
        private final List<Integer> members = new ArrayList<>();
        private int highestContentCount;
        private int highestPartCount;

        private LossPattern(BitSet losses) {
            this.losses = losses;
            this.size = losses.cardinality();
        }

        private void add(int index, Suspect suspect) {
            members.add(index);
            if (suspect.key().isPart()) {
                highestPartCount = Math.max(highestPartCount, suspect.count());
            } else {
                highestContentCount = Math.max(highestContentCount, suspect.count());
            }
        }

        private boolean coversAllOf(LossPattern other) {
            return size >= other.size && countMissing(other.losses) == 0;
        }

        private boolean coversAllButCoincidenceOf(BitSet others) {
            return countMissing(others) <= COINCIDENTAL_LOSSES;
        }

        private int countMissing(BitSet others) {
            BitSet missing = (BitSet) others.clone();
            missing.andNot(losses);
            return missing.cardinality();
        }
    }

    /**
     * Creates an attribution. Its cost grows with the number of different patterns of losses, not
     * with the number of suspects: all parts of a prompt are mostly lost together.
     *
     * @param threshold number of losses from which something is quarantined
     * @param suspects all that was lost {@value #REPEATED_LOSSES} times or more
     */
    LossAttribution(int threshold, List<Suspect> suspects) {
        this.threshold = threshold;
        this.suspects = suspects.stream().sorted(Comparator.comparing(Suspect::key)).toList();
        Map<TargetLoss, Integer> lossIndexes = new HashMap<>();
        Map<BitSet, LossPattern> patternsByLosses = new LinkedHashMap<>();
        this.patterns = new ArrayList<>();
        for (Suspect suspect : this.suspects) {
            BitSet losses = new BitSet();
            for (TargetLoss loss : suspect.losses()) {
                losses.set(lossIndexes.computeIfAbsent(loss, key -> lossIndexes.size()));
            }
            LossPattern pattern = patternsByLosses.computeIfAbsent(losses, LossPattern::new);
            pattern.add(patterns.size(), suspect);
            patterns.add(pattern);
        }
        this.distinctPatterns = List.copyOf(patternsByLosses.values());
        for (int loss = 0; loss < lossIndexes.size(); loss++) {
            patternsByLoss.add(new ArrayList<>());
        }
        for (LossPattern pattern : distinctPatterns) {
            pattern.losses.stream().forEach(loss -> patternsByLoss.get(loss).add(pattern));
        }
    }

    /**
     * Returns what to quarantine. Each set holds what cannot be told apart, because it was lost
     * together each time: requests that have all of a set in common are refused, and those with
     * some of it only are not.
     */
    Set<Set<Fingerprint>> quarantined() {
        Set<LossPattern> common = commonPatterns();
        boolean[] chosen = choose(common);
        Map<LossPattern, Set<Fingerprint>> groupsOfParts = new IdentityHashMap<>();
        Set<Set<Fingerprint>> groups = new HashSet<>();
        for (int index = 0; index < suspects.size(); index++) {
            if (!isBlamed(index, chosen[index], common)) {
                continue;
            }
            Suspect suspect = suspects.get(index);
            if (suspect.key().isPart()) {
                groupsOfParts.computeIfAbsent(
                        patterns.get(index), pattern -> groupOfParts(pattern, chosen));
            } else {
                groups.add(Set.of(suspect.key()));
            }
        }
        groups.addAll(groupsOfParts.values());
        return groups;
    }

    private boolean isBlamed(int index, boolean chosen, Set<LossPattern> common) {
        int count = suspects.get(index).count();
        return count >= threshold + EXCESS_LOSSES && !isCommon(index, common)
                || count >= threshold && chosen;
    }

    private boolean isCommon(int index, Set<LossPattern> common) {
        return suspects.get(index).key().isPart() && common.contains(patterns.get(index));
    }

    /**
     * Returns the patterns whose parts are common to several requests that crash targets, which
     * explain their losses: too few remain that are not those of contents and other parts that are
     * lost only together with them, and that have reached the threshold.
     */
    private Set<LossPattern> commonPatterns() {
        Set<LossPattern> common = Collections.newSetFromMap(new IdentityHashMap<>());
        for (LossPattern pattern : distinctPatterns) {
            BitSet remaining = (BitSet) pattern.losses.clone();
            for (LossPattern other : sharingLosses(pattern)) {
                if (isLostOnlyWith(other, pattern)) {
                    remaining.andNot(other.losses);
                }
            }
            int left = remaining.cardinality();
            if (left < threshold && left < pattern.size) {
                common.add(pattern);
            }
        }
        return common;
    }

    /** Returns whether other suspects are lost only with the parts of a pattern, not each time. */
    private boolean isLostOnlyWith(LossPattern other, LossPattern pattern) {
        boolean distinguishable =
                other.highestContentCount >= threshold
                        || other.highestPartCount >= threshold
                                && !other.coversAllButCoincidenceOf(pattern.losses);
        return distinguishable && pattern.coversAllOf(other);
    }

    private Set<LossPattern> sharingLosses(LossPattern pattern) {
        Set<LossPattern> sharing = Collections.newSetFromMap(new IdentityHashMap<>());
        pattern.losses.stream().forEach(loss -> sharing.addAll(patternsByLoss.get(loss)));
        return sharing;
    }

    private boolean[] choose(Set<LossPattern> common) {
        boolean[] chosen = new boolean[suspects.size()];
        int[] ownLosses = new int[suspects.size()];
        int[] unexplained = new int[suspects.size()];
        for (LossPattern pattern : distinctPatterns) {
            int own = countOwnLosses(pattern);
            for (int index : pattern.members) {
                ownLosses[index] = own;
                unexplained[index] = isCommon(index, common) ? 0 : pattern.size;
            }
        }
        BitSet explained = new BitSet();
        int next = mostLikely(ownLosses, unexplained);
        while (next >= 0) {
            chosen[next] = true;
            BitSet added = (BitSet) patterns.get(next).losses.clone();
            added.andNot(explained);
            explained.or(added);
            added.stream()
                    .mapToObj(patternsByLoss::get)
                    .flatMap(List::stream)
                    .flatMap(pattern -> pattern.members.stream())
                    .forEach(index -> unexplained[index]--);
            next = mostLikely(ownLosses, unexplained);
        }
        return chosen;
    }

    /** Counts the losses that nothing explains but a pattern and what it covers entirely. */
    private int countOwnLosses(LossPattern pattern) {
        Set<LossPattern> notCovered = Collections.newSetFromMap(new IdentityHashMap<>());
        sharingLosses(pattern).stream()
                .filter(other -> !pattern.coversAllOf(other))
                .forEach(notCovered::add);
        return (int)
                pattern.losses.stream()
                        .filter(
                                loss ->
                                        patternsByLoss.get(loss).stream()
                                                .noneMatch(notCovered::contains))
                        .count();
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

    /** Returns the parts that cannot be told apart from the blamed ones of a pattern. */
    private Set<Fingerprint> groupOfParts(LossPattern blamed, boolean[] chosen) {
        Set<LossPattern> sharing = sharingLosses(blamed);
        BitSet remaining = (BitSet) blamed.losses.clone();
        for (LossPattern other : sharing) {
            boolean explains = other.members.stream().anyMatch(index -> chosen[index]);
            if (explains && !other.coversAllButCoincidenceOf(blamed.losses)) {
                remaining.andNot(other.losses);
            }
        }
        BitSet toExplain =
                remaining.cardinality() > COINCIDENTAL_LOSSES ? remaining : blamed.losses;
        return sharing.stream()
                .filter(other -> other.coversAllButCoincidenceOf(toExplain))
                .flatMap(other -> other.members.stream())
                .map(suspects::get)
                .filter(suspect -> suspect.key().isPart() && suspect.count() >= threshold)
                .map(Suspect::key)
                .collect(Collectors.toUnmodifiableSet());
    }
}
