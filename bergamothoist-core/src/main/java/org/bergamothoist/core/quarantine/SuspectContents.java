package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The targets that were lost while they ran each content, and each part of prompts that contents
 * have in common. Confined to the control thread.
 *
 * <p>Losses are identified by the run of the target that ended, so that it makes no difference how
 * often and by whom one is recorded. Of losses whose requests ran at the same time only one counts:
 * copies of a harmless content may run on several targets that fail together. Of losses within a
 * short time only one counts for a part, which many requests have in common. What was completed is
 * cleared: its losses are kept, but no longer count, so that a late record of one of them changes
 * nothing.
 */
public final class SuspectContents {

    /** Maximum number of losses that are kept for a content. */
    static final int MAXIMUM_LOSSES = 8;

    /**
     * Time within which the losses of a part count once: targets of a service that fail together
     * are lost within a fraction of a second, and may all run a common part.
     */
    private static final Duration COMMON_FAILURE_TIME = Duration.ofMillis(300);

    /** Time by which a loss that another daemon reports may seem to be later than it was. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(10);

    /**
     * Time for which what was answered is not blamed: targets that all end within it may leave no
     * answer that clears a common part, and a harmless content may be lost with several of them.
     */
    private static final Duration ANSWERED_TIME = Duration.ofSeconds(10);

    /**
     * Additional losses from which a part is blamed that was answered within the retention: what
     * crashes each target is never answered, and a common part takes the losses of several contents
     * that are below the threshold themselves.
     */
    static final int ADDITIONAL_LOSSES_OF_ANSWERED_PARTS = 2;

    private final int quarantineThreshold;
    private final Duration retention;
    private final int maximumContents;
    private final InstantSource clock;
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);
    private Instant expiredAt = Instant.MIN;

    /**
     * When this daemon last got an answer to a request with the content or part, within the
     * retention.
     */
    private final Map<Fingerprint, Instant> answered =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Fingerprint, Instant> eldest) {
                    return size() > maximumContents;
                }
            };

    /**
     * A loss of a target that ran the content.
     *
     * @param sentAt when the request was sent to the target
     * @param at when the connection broke
     * @param cleared whether the content has been completed since then
     */
    public record Loss(TargetLoss target, Instant sentAt, Instant at, boolean cleared) {}

    /**
     * Creates an empty table.
     *
     * @param quarantineThreshold number of losses from which a content is quarantined
     * @param retention time after the newest loss of a content for which its losses count
     * @param maximumContents number of contents above which the least recently used one is evicted;
     *     quarantined contents are evicted last
     */
    public SuspectContents(
            int quarantineThreshold, Duration retention, int maximumContents, InstantSource clock) {
        this.quarantineThreshold = quarantineThreshold;
        this.retention = retention;
        this.maximumContents = maximumContents;
        this.clock = clock;
    }

    /** Returns whether no losses are known. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the number of losses that count for the content. */
    public int lossCount(Fingerprint content) {
        return current(content).map(Entry::lossCount).orElse(0);
    }

    /** Returns whether the content is one of those to quarantine. */
    public boolean isQuarantined(Fingerprint content) {
        return quarantined().stream().anyMatch(group -> group.contains(content));
    }

    /**
     * Returns what to quarantine. Requests that have all contents and parts of a set in common are
     * refused.
     */
    public Set<Set<Fingerprint>> quarantined() {
        List<LossAttribution.Suspect> repeated =
                withLosses(LossAttribution.REPEATED_LOSSES).stream()
                        .filter(key -> !wasAnsweredLately(key))
                        .filter(key -> !wasAnswered(key) || lossCount(key) >= blamedFrom(key))
                        .map(
                                key ->
                                        new LossAttribution.Suspect(
                                                key, countedLosses(key), lossCount(key)))
                        .toList();
        return new LossAttribution(quarantineThreshold, repeated).quarantined();
    }

    /**
     * Returns the parts of a request that one more loss would quarantine, and its content if one
     * more loss would quarantine it. A part whose losses another one explains, which the request
     * does not have, is none of them.
     */
    public List<Fingerprint> oneLossFromQuarantine(RequestKeys keys) {
        return keys.all().stream()
                .filter(key -> lossCount(key) >= blamedFrom(key) - 1)
                .filter(key -> !wasAnsweredLately(key))
                .filter(key -> !key.isPart() || !isExplainedByOthers(key, keys))
                .toList();
    }

    /** Records that a target has answered a request with these keys. */
    public void onAnswered(Collection<Fingerprint> keys) {
        Instant now = clock.instant();
        for (Fingerprint key : keys) {
            answered.remove(key);
            answered.put(key, now);
        }
    }

    private boolean wasAnsweredLately(Fingerprint key) {
        Instant answeredAt = answered.get(key);
        return answeredAt != null && clock.instant().isBefore(answeredAt.plus(ANSWERED_TIME));
    }

    private boolean wasAnswered(Fingerprint key) {
        return key.isPart() && answered.containsKey(key);
    }

    /** Returns the number of losses from which a content or part may be blamed. */
    private int blamedFrom(Fingerprint key) {
        return wasAnswered(key)
                ? quarantineThreshold + ADDITIONAL_LOSSES_OF_ANSWERED_PARTS
                : quarantineThreshold;
    }

    private boolean isExplainedByOthers(Fingerprint part, RequestKeys keys) {
        Set<TargetLoss> losses = countedLosses(part);
        return withLosses(quarantineThreshold - 1).stream()
                .filter(other -> other.isPart() && !keys.parts().contains(other))
                .anyMatch(other -> countedLosses(other).containsAll(losses));
    }

    private Set<TargetLoss> countedLosses(Fingerprint content) {
        return losses(content).stream()
                .filter(loss -> !loss.cleared())
                .map(Loss::target)
                .collect(Collectors.toSet());
    }

    /** Returns the losses of a content, cleared ones included. */
    public List<Loss> losses(Fingerprint content) {
        return current(content).map(entry -> List.copyOf(entry.losses.values())).orElse(List.of());
    }

    /** Returns when the losses of a content no longer count, or empty if none are known. */
    public Optional<Instant> endOfRetention(Fingerprint content) {
        return current(content).map(Entry::newestLossAt).map(at -> at.plus(retention));
    }

    /** Returns the contents that are quarantined or would be after one more loss, sorted. */
    public List<Fingerprint> closeToQuarantine() {
        return withLosses(quarantineThreshold - 1);
    }

    /** Returns the contents for which any loss counts, sorted. */
    public List<Fingerprint> suspects() {
        return withLosses(1);
    }

    private List<Fingerprint> withLosses(int minimum) {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().lossCount() >= minimum)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Records a loss; returns whether it was unknown, or known but not as cleared. */
    public boolean record(Fingerprint content, Loss loss) {
        if (isOver(loss.at())) {
            return false;
        }
        boolean changed = entries.computeIfAbsent(content, Entry::new).add(loss);
        if (entries.size() > maximumContents) {
            evict();
        }
        return changed;
    }

    /** Clears a content that was completed or released; returns whether any loss had counted. */
    public boolean clear(Fingerprint content) {
        Optional<Entry> entry = current(content).filter(found -> found.lossCount() > 0);
        entry.ifPresent(found -> found.clear(clock.instant()));
        return entry.isPresent();
    }

    /** Removes what is too old to count; returns whether that may change what is quarantined. */
    public boolean removeExpired() {
        boolean removed = entries.values().removeIf(entry -> isOver(entry.newestLossAt()));
        answered.entrySet().removeIf(entry -> isOver(entry.getValue()));
        Instant now = clock.instant();
        Instant before = expiredAt;
        expiredAt = now;
        boolean blameable =
                answered.entrySet().stream()
                        .filter(entry -> endsWithin(entry.getValue(), before, now))
                        .anyMatch(entry -> lossCount(entry.getKey()) > 0);
        return removed || blameable;
    }

    /** Returns whether the time ended lately for which what was answered then is not blamed. */
    private static boolean endsWithin(Instant answeredAt, Instant before, Instant now) {
        Instant end = answeredAt.plus(ANSWERED_TIME);
        return end.isAfter(before) && !end.isAfter(now);
    }

    private Optional<Entry> current(Fingerprint content) {
        return Optional.ofNullable(entries.get(content))
                .filter(entry -> !isOver(entry.newestLossAt()));
    }

    private boolean isOver(Instant newestLossAt) {
        return !clock.instant().isBefore(newestLossAt.plus(retention));
    }

    /**
     * Removes what was lost once, or else what is not quarantined; the least recently used first.
     */
    private void evict() {
        Fingerprint evicted =
                leastRecentlyUsed(2)
                        .or(() -> leastRecentlyUsed(quarantineThreshold))
                        .orElseGet(() -> entries.keySet().iterator().next());
        entries.remove(evicted);
    }

    private Optional<Fingerprint> leastRecentlyUsed(int belowLosses) {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().lossCount() < belowLosses)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** The losses of one content or part. */
    private static final class Entry {

        private final Map<TargetLoss, Loss> losses = new LinkedHashMap<>();
        private final Duration commonFailureTime;
        private int lossCount;

        /** When a request with it was completed, or the earliest instant if none was. */
        private Instant completedAt = Instant.MIN;

        private Entry(Fingerprint key) {
            this.commonFailureTime = key.isPart() ? COMMON_FAILURE_TIME : Duration.ZERO;
        }

        private int lossCount() {
            return lossCount;
        }

        private void recount() {
            List<Loss> inOrder =
                    losses.values().stream()
                            .filter(loss -> !loss.cleared())
                            .sorted(Comparator.comparing(Loss::at))
                            .toList();
            lossCount = 0;
            Loss lastCounted = null;
            for (Loss loss : inOrder) {
                if (lastCounted == null || isIndependent(loss, lastCounted)) {
                    lossCount++;
                    lastCounted = loss;
                }
            }
        }

        private boolean isIndependent(Loss loss, Loss earlier) {
            return !loss.sentAt().isBefore(earlier.at().minus(REPORT_DELAY))
                    && !loss.at().isBefore(earlier.at().plus(commonFailureTime));
        }

        private Instant newestLossAt() {
            return losses.values().stream()
                    .map(Loss::at)
                    .max(Comparator.naturalOrder())
                    .orElse(Instant.EPOCH);
        }

        /** Adds a loss. The earlier of two times of one loss counts, so that retention ends. */
        private boolean add(Loss reported) {
            boolean cleared = reported.cleared() || reported.at().isBefore(completedAt);
            Loss loss = new Loss(reported.target(), reported.sentAt(), reported.at(), cleared);
            Loss known = losses.get(loss.target());
            boolean changed = known == null ? addUnknown(loss) : merge(known, loss);
            recount();
            return changed;
        }

        private boolean merge(Loss known, Loss loss) {
            Loss earlier = known.at().isBefore(loss.at()) ? known : loss;
            boolean cleared = known.cleared() || loss.cleared();
            losses.put(
                    loss.target(),
                    new Loss(loss.target(), earlier.sentAt(), earlier.at(), cleared));
            return cleared != known.cleared();
        }

        private boolean addUnknown(Loss loss) {
            if (losses.size() >= MAXIMUM_LOSSES && !removeOldestCleared()) {
                return false;
            }
            losses.put(loss.target(), loss);
            return true;
        }

        private boolean removeOldestCleared() {
            Optional<Loss> oldest =
                    losses.values().stream()
                            .filter(Loss::cleared)
                            .min(Comparator.comparing(Loss::at));
            oldest.ifPresent(loss -> losses.remove(loss.target()));
            return oldest.isPresent();
        }

        private void clear(Instant at) {
            completedAt = at;
            for (Loss loss : new ArrayList<>(losses.values())) {
                losses.put(loss.target(), new Loss(loss.target(), loss.sentAt(), loss.at(), true));
            }
            recount();
        }
    }
}
