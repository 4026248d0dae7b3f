package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.log.SharedState;

/**
 * Quarantine of contents and parts of prompts that crash targets, for daemons that share their
 * losses in reports. Confined to the control thread.
 *
 * <p>Daemons repeat to each other what has changed, and the contents that are close to quarantine
 * for as long as they are, so that one that was cut off or has started learns of them as well. Each
 * report also repeats one of the other suspects, whose number after the loss of a target may be
 * large. {@link QuarantineController} does the same for daemons that share a log.
 */
public final class GossipQuarantine {

    /**
     * Number of losses from which a content is refused. One more than where a reservation in the
     * log keeps suspects of different daemons apart: two losses may be coincidence here.
     */
    public static final int THRESHOLD = 3;

    /** Time for which a content is refused after its last loss. */
    public static final Duration RETENTION = SharedState.QUARANTINE_DURATION;

    /** Maximum number of contents whose losses are kept. */
    private static final int MAXIMUM_CONTENTS = 2_000;

    /** Maximum number of losses in a report, so that it fits into one datagram. */
    private static final int MAXIMUM_REPORTED_LOSSES = 24;

    /** Maximum number of losses that a report repeats of what was cleared, the newest ones. */
    private static final int MAXIMUM_CLEARED_LOSSES = 3;

    /** Time for which each report repeats a change; reaches each receiver several times. */
    private static final Duration REPETITION = Duration.ofSeconds(2);

    private final SuspectContents contents;
    private final InstantSource clock;
    private final Listener listener;
    private final DecisionLog log;
    private final Map<Fingerprint, Instant> changes = new LinkedHashMap<>();

    /** How often reports have told of each change, so that all of them are told in turn. */
    private final Map<Fingerprint, Integer> timesTold = new HashMap<>();

    /** Routes and organisations of the contents whose losses this daemon has observed itself. */
    private final Map<Fingerprint, String> observedOrigins = new HashMap<>();

    /** What is refused, by each member: requests that have all contents and parts of a set. */
    private Map<Fingerprint, List<Set<Fingerprint>>> groupsByKey = Map.of();

    private int nextStanding;

    /** Is told of changes that others should learn of soon. */
    public interface Listener {

        /** Handles a loss that this daemon has observed, or the clearing of a content. */
        default void onChange() {}

        /**
         * Handles a content that is refused from now on.
         *
         * @param origin route and organisation of the content, if this daemon has observed one of
         *     its losses itself
         */
        default void onQuarantined(
                Fingerprint content, List<SuspectContents.Loss> losses, Optional<String> origin) {}

        /** Handles a content that was refused and no longer is, before its time was over. */
        default void onServedAgain(Fingerprint content) {}
    }

    /** Creates an empty quarantine. */
    public GossipQuarantine(InstantSource clock, Listener listener, DecisionLog log) {
        this.contents = new SuspectContents(THRESHOLD, RETENTION, MAXIMUM_CONTENTS, clock);
        this.clock = clock;
        this.listener = listener;
        this.log = log;
    }

    /** Returns whether any content is suspect, quarantined or was so lately. */
    public boolean isActive() {
        return !contents.isEmpty();
    }

    /**
     * Returns the content or the parts for which a request is refused, or an empty set if it is
     * not.
     */
    public Set<Fingerprint> refusedFor(RequestKeys keys) {
        return keys.all().stream()
                .flatMap(key -> groupsByKey.getOrDefault(key, List.of()).stream())
                .filter(keys::containsAll)
                .filter(group -> group.stream().allMatch(this::isSuspect))
                .min(Comparator.comparingInt(Set::size))
                .orElse(Set.of());
    }

    /**
     * Returns whether a content or part is quarantined: requests with it are refused, unless they
     * lack a part that it cannot be told apart from.
     */
    public boolean isQuarantined(Fingerprint key) {
        return isSuspect(key) && groupsByKey.containsKey(key);
    }

    /** Returns whether a target was lost while it ran the content or part. */
    public boolean isSuspect(Fingerprint key) {
        return contents.lossCount(key) > 0;
    }

    /**
     * Returns whether a content or part has as many losses as are needed to quarantine it, also
     * while others explain them.
     */
    public boolean hasReachedThreshold(Fingerprint key) {
        return contents.lossCount(key) >= THRESHOLD;
    }

    /** Returns whether one more loss would quarantine the content or part. */
    public boolean isOneLossFromQuarantine(Fingerprint key) {
        return contents.lossCount(key) >= THRESHOLD - 1 && !isQuarantined(key);
    }

    /**
     * Returns the content and the parts of a request that one more loss would quarantine and that
     * nothing else explains.
     */
    public List<Fingerprint> oneLossFromQuarantine(RequestKeys keys) {
        return contents.oneLossFromQuarantine(keys);
    }

    /** Returns the number of independent losses that count for the content or part. */
    public int lossCount(Fingerprint key) {
        return contents.lossCount(key);
    }

    /** Returns the losses of a content, cleared ones included. */
    public List<SuspectContents.Loss> losses(Fingerprint content) {
        return contents.losses(content);
    }

    /** Returns how long the content will be refused if no further loss is observed. */
    public Duration timeLeft(Fingerprint content) {
        Instant now = clock.instant();
        return contents.endOfRetention(content)
                .map(end -> Duration.between(now, end))
                .orElse(Duration.ZERO);
    }

    /** Returns the number of contents and parts that are quarantined. */
    public int quarantinedCount() {
        return (int) quarantinedKeys().stream().filter(this::isQuarantined).count();
    }

    private Set<Fingerprint> quarantinedKeys() {
        return Set.copyOf(groupsByKey.keySet());
    }

    /**
     * Records that a target was lost.
     *
     * @param running contents that this daemon had sent to it
     */
    public void onTargetLost(TargetLoss target, Map<Fingerprint, LostRun> running) {
        boolean changed = false;
        for (Map.Entry<Fingerprint, LostRun> entry : running.entrySet()) {
            LostRun run = entry.getValue();
            observedOrigins.put(entry.getKey(), run.origin());
            var loss = new SuspectContents.Loss(target, run.sentAt(), run.brokenAt(), false);
            changed |= record(entry.getKey(), loss, "observed " + run.origin());
        }
        if (changed) {
            updateQuarantined();
        }
        listener.onChange();
    }

    /** Records a loss; returns whether it may change what is quarantined. */
    private boolean record(Fingerprint content, SuspectContents.Loss loss, String source) {
        if (!contents.record(content, loss)) {
            return false;
        }
        markChanged(content);
        int losses = contents.lossCount(content);
        log.write(
                DecisionKind.CONTENT_SUSPECTED,
                content.abbreviated(),
                () -> "lost=" + loss.target() + " " + source,
                loss.cleared() ? "cleared" : "losses " + losses);
        return losses >= LossAttribution.REPEATED_LOSSES || loss.cleared();
    }

    private void markChanged(Fingerprint key) {
        changes.put(key, clock.instant());
        timesTold.remove(key);
    }

    /** Decides anew what is quarantined; a change of some losses may concern others as well. */
    private void updateQuarantined() {
        Set<Fingerprint> before = quarantinedKeys();
        groupsByKey = new HashMap<>();
        for (Set<Fingerprint> group : contents.quarantined()) {
            group.forEach(
                    key ->
                            groupsByKey
                                    .computeIfAbsent(key, member -> new ArrayList<>())
                                    .add(group));
        }
        Set<Fingerprint> after = quarantinedKeys();
        after.stream().filter(key -> !before.contains(key)).sorted().forEach(this::quarantine);
        before.stream()
                .filter(key -> !after.contains(key))
                .filter(key -> !losses(key).isEmpty())
                .sorted()
                .forEach(this::serveAgain);
    }

    private void serveAgain(Fingerprint content) {
        boolean cleared = contents.lossCount(content) < THRESHOLD;
        log.write(
                DecisionKind.CONTENT_CLEARED,
                content.abbreviated(),
                () -> cleared ? "its losses no longer count" : "others explain its losses",
                "served");
        // The store's record of an explained content stays: its losses may count again.
        if (cleared) {
            listener.onServedAgain(content);
        }
    }

    private void quarantine(Fingerprint content) {
        List<SuspectContents.Loss> losses = losses(content);
        Optional<String> origin = Optional.ofNullable(observedOrigins.get(content));
        log.write(
                DecisionKind.CONTENT_QUARANTINED,
                content.hexadecimal(),
                () ->
                        "lost="
                                + losses.stream().map(SuspectContents.Loss::target).toList()
                                + origin.map(" "::concat).orElse(""),
                "refused for " + timeLeft(content).toSeconds() + " s");
        listener.onQuarantined(content, losses, origin);
    }

    /** Records that a target has answered a request with these parts, which are common then. */
    public void onAnswered(Collection<Fingerprint> parts) {
        contents.onAnswered(parts);
    }

    /** Clears the suspicion of the content and the parts of a request that a target answered. */
    public void onCompleted(RequestKeys keys) {
        contents.onAnswered(keys.all());
        clear(keys.all(), "completed");
    }

    /**
     * Clears a content or part that an operator has released, and what could not be told apart from
     * it.
     */
    public void onReleased(Fingerprint key) {
        Set<Fingerprint> released = new LinkedHashSet<>(Set.of(key));
        groupsByKey.getOrDefault(key, List.of()).forEach(released::addAll);
        clear(released, "released");
    }

    private void clear(Collection<Fingerprint> keys, String reason) {
        boolean attributed =
                keys.stream()
                        .anyMatch(
                                key -> contents.lossCount(key) >= LossAttribution.REPEATED_LOSSES);
        List<Fingerprint> cleared = keys.stream().filter(contents::clear).toList();
        if (cleared.isEmpty()) {
            return;
        }
        for (Fingerprint key : cleared) {
            markChanged(key);
            log.write(DecisionKind.CONTENT_CLEARED, key.abbreviated(), () -> reason, "served");
        }
        listener.onChange();
        if (attributed) {
            updateQuarantined();
        }
    }

    /** Takes over what another daemon or the store knows. */
    public void merge(List<SuspectReport> reports, String source) {
        Instant now = clock.instant();
        boolean changed = false;
        for (SuspectReport report : reports) {
            for (SuspectReport.ReportedLoss loss : report.losses()) {
                if (!loss.cleared() && isCleared(report.key(), loss.target())) {
                    // The sender does not know that the content was completed: tell it again.
                    markChanged(report.key());
                }
                Instant at = now.minus(loss.age());
                changed |=
                        record(
                                report.key(),
                                new SuspectContents.Loss(
                                        loss.target(),
                                        at.minus(loss.runTime()),
                                        at,
                                        loss.cleared()),
                                "from " + source);
            }
        }
        if (changed) {
            updateQuarantined();
        }
    }

    private boolean isCleared(Fingerprint content, TargetLoss target) {
        return losses(content).stream()
                .anyMatch(loss -> loss.cleared() && loss.target().equals(target));
    }

    /** Forgets what is too old to count or to be repeated. */
    public void removeExpired() {
        Instant now = clock.instant();
        if (contents.removeExpired()) {
            updateQuarantined();
        }
        changes.values().removeIf(at -> at.plus(REPETITION).isBefore(now));
        timesTold.keySet().retainAll(changes.keySet());
        observedOrigins.keySet().removeIf(content -> contents.losses(content).isEmpty());
    }

    /** Returns what the next report tells other daemons: changes first, then standing contents. */
    public List<SuspectReport> nextReport() {
        if (!isActive()) {
            return List.of();
        }
        Instant now = clock.instant();
        List<SuspectReport> reports = new ArrayList<>();
        int losses = 0;
        for (Fingerprint content : reportOrder()) {
            SuspectReport report = report(content, now);
            losses += report.losses().size();
            if (losses > MAXIMUM_REPORTED_LOSSES) {
                break;
            }
            reports.add(report);
            timesTold.merge(content, 1, Integer::sum);
        }
        return reports;
    }

    private Set<Fingerprint> reportOrder() {
        Set<Fingerprint> order = new LinkedHashSet<>();
        changes.keySet().stream()
                .sorted(
                        Comparator.<Fingerprint>comparingInt(key -> -timesTold.getOrDefault(key, 0))
                                .thenComparing(this::urgency)
                                .thenComparing(contents::lossCount)
                                .reversed())
                .forEach(order::add);
        List<Fingerprint> standing = contents.closeToQuarantine();
        for (int index = 0; index < standing.size(); index++) {
            order.add(standing.get((nextStanding + index) % standing.size()));
        }
        List<Fingerprint> suspects = contents.suspects();
        if (!suspects.isEmpty()) {
            order.add(suspects.get(nextStanding % suspects.size()));
        }
        nextStanding++;
        return order;
    }

    /** How much other daemons need to know of a change, the most urgent last. */
    private enum Urgency {
        SINGLE_LOSS,
        /** Common parts are lost with many targets, and harmless if they were answered since. */
        CLEARED,
        REPEATED_LOSSES
    }

    private Urgency urgency(Fingerprint key) {
        int losses = contents.lossCount(key);
        if (losses >= LossAttribution.REPEATED_LOSSES) {
            return Urgency.REPEATED_LOSSES;
        }
        return losses == 0 ? Urgency.CLEARED : Urgency.SINGLE_LOSS;
    }

    private SuspectReport report(Fingerprint key, Instant now) {
        List<SuspectContents.Loss> losses = contents.losses(key);
        int limit = isSuspect(key) ? losses.size() : MAXIMUM_CLEARED_LOSSES;
        return new SuspectReport(
                key,
                losses.stream()
                        .sorted(Comparator.comparing(SuspectContents.Loss::at).reversed())
                        .limit(limit)
                        .map(
                                loss ->
                                        new SuspectReport.ReportedLoss(
                                                loss.target(),
                                                Duration.between(loss.sentAt(), loss.at()),
                                                Duration.between(loss.at(), now),
                                                loss.cleared()))
                        .toList());
    }
}
