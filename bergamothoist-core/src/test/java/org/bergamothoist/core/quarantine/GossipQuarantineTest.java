package org.bergamothoist.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.quarantine.SuspectContentsTest.content;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class GossipQuarantineTest {

    private static final Fingerprint CRASHING = content(1);
    private static final Fingerprint HARMLESS = content(2);

    /** Daemons of the largest deployment, and how these exchange reports. */
    private static final int DAEMONS_OF_A_LARGE_FLEET = 95;

    private static final int PEERS_OF_A_ROUND = 8;
    private static final int ROUNDS_IN_TWO_SECONDS = 10;

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<Fingerprint> published = new ArrayList<>();
    private final List<Fingerprint> servedAgain = new ArrayList<>();

    private GossipQuarantine daemon() {
        return new GossipQuarantine(
                time,
                new GossipQuarantine.Listener() {
                    @Override
                    public void onQuarantined(
                            Fingerprint content,
                            List<SuspectContents.Loss> losses,
                            Optional<String> origin) {
                        origin.ifPresent(text -> published.add(content));
                    }

                    @Override
                    public void onServedAgain(Fingerprint content) {
                        servedAgain.add(content);
                    }
                },
                (kind, subject, inputs, outcome) -> {});
    }

    private void lose(GossipQuarantine daemon, String target, Fingerprint... running) {
        for (Fingerprint content : running) {
            daemon.onTargetLost(
                    new TargetLoss(target, "1"),
                    Map.of(content, new LostRun("route=r", time.instant(), time.instant())));
        }
    }

    private static void tell(GossipQuarantine from, GossipQuarantine to) {
        to.merge(from.nextReport(), "peer");
    }

    /** Guards against losses that each daemon counts for itself while callers change daemons. */
    @Test
    void lossesSeenByDifferentDaemonsAddUp() {
        GossipQuarantine first = daemon();
        GossipQuarantine second = daemon();
        lose(first, "a", CRASHING, HARMLESS);
        lose(second, "b", CRASHING);
        lose(second, "c", CRASHING);
        assertThat(first.isQuarantined(CRASHING)).isFalse();
        tell(second, first);
        tell(first, second);
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(second.isQuarantined(CRASHING)).isTrue();
        assertThat(published).contains(CRASHING);
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
    }

    /** Guards against a daemon that starts or was cut off long after the losses. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10_000, 3_000_000})
    void refusedContentIsToldForAsLongAsItIsRefused(long delayMilliseconds) {
        GossipQuarantine first = daemon();
        lose(first, "a", CRASHING, HARMLESS);
        lose(first, "b", CRASHING);
        lose(first, "c", CRASHING);
        time.advanceMillis(delayMilliseconds);
        first.removeExpired();
        GossipQuarantine second = daemon();
        tell(first, second);
        assertThat(second.isQuarantined(CRASHING)).isTrue();
        assertThat(second.timeLeft(CRASHING))
                .isEqualTo(GossipQuarantine.RETENTION.minusMillis(delayMilliseconds));
        time.advance(GossipQuarantine.RETENTION);
        second.removeExpired();
        assertThat(second.isActive()).isFalse();
        assertThat(second.nextReport()).isEmpty();
    }

    /** Guards against a refusal of harmless content that daemons teach each other again. */
    @Test
    void contentThatWasCompletedIsClearedEverywhere() {
        GossipQuarantine first = daemon();
        GossipQuarantine second = daemon();
        lose(first, "a", HARMLESS);
        lose(first, "b", HARMLESS);
        lose(first, "c", HARMLESS);
        tell(first, second);
        second.onCompleted(RequestKeys.ofContent(HARMLESS));
        tell(first, second);
        tell(second, first);
        assertThat(first.isSuspect(HARMLESS)).isFalse();
        assertThat(second.isSuspect(HARMLESS)).isFalse();
        assertThat(servedAgain).containsExactly(HARMLESS, HARMLESS);
    }

    /**
     * Guards against refusing harmless content that had three losses first, because it ran beside
     * several contents that crash targets.
     */
    @Test
    void contentWhoseLossesOthersExplainIsServedAgain() {
        GossipQuarantine first = daemon();
        Fingerprint otherCrashing = content(3);
        lose(first, "a", CRASHING, HARMLESS);
        time.advanceMillis(100);
        lose(first, "b", otherCrashing, HARMLESS);
        time.advanceMillis(100);
        lose(first, "c", CRASHING, HARMLESS);
        assertThat(first.isQuarantined(HARMLESS)).isTrue();
        for (String target : List.of("d", "e")) {
            time.advanceMillis(100);
            lose(first, target, CRASHING, otherCrashing);
        }
        time.advanceMillis(100);
        lose(first, "f", otherCrashing);
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(first.isQuarantined(otherCrashing)).isTrue();
        assertThat(servedAgain).isEmpty();
    }

    /** Guards against refusing harmless content for one crash beside those that others caused. */
    @Test
    void contentWhoseLossesOthersExplainButForOneIsServedAgain() {
        GossipQuarantine first = daemon();
        lose(first, "a", CRASHING, HARMLESS);
        lose(first, "b", CRASHING, HARMLESS);
        time.advanceMillis(100);
        lose(first, "c", HARMLESS);
        lose(first, "d", CRASHING);
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
    }

    /**
     * Guards against refusing harmless content that moved from a dying target to the next one that
     * died, beside contents that have crashed targets without it but are not refused yet.
     */
    @Test
    void contentThatMovedAmongDyingTargetsIsServed() {
        GossipQuarantine first = daemon();
        for (int crashing = 3; crashing <= 5; crashing++) {
            lose(first, "earlier-" + crashing, content(crashing));
            time.advanceMillis(500);
        }
        for (int crashing = 3; crashing <= 5; crashing++) {
            lose(first, "target-" + crashing, HARMLESS, content(crashing));
            time.advanceMillis(100);
        }
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
    }

    /**
     * Guards against refusing harmless content for as long as those that explain its losses are
     * below the threshold themselves.
     */
    @Test
    void refusedContentIsServedAgainOnceOthersExplainItsLosses() {
        GossipQuarantine first = daemon();
        for (int crashing = 3; crashing <= 5; crashing++) {
            lose(first, "target-" + crashing, HARMLESS, content(crashing));
            time.advanceMillis(100);
        }
        assertThat(first.isQuarantined(HARMLESS)).isTrue();
        for (int crashing = 3; crashing <= 5; crashing++) {
            lose(first, "later-" + crashing, content(crashing));
            time.advanceMillis(500);
        }
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
    }

    /**
     * Guards against refusing all requests of a service for the part that they have in common,
     * because its targets end so fast after each other that no answer clears it.
     */
    @Test
    void commonPartThatWasAnsweredIsServedWhileAllTargetsEnd() {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("engines", "ab");
        Fingerprint bad = FingerprintCalculator.ofPart("engines", "dead");
        first.onAnswered(Set.of(common));
        for (int target = 0; target < 6; target++) {
            time.advanceMillis(400);
            lose(first, "target-" + target, common, target % 2 == 0 ? CRASHING : bad);
        }
        assertThat(first.isQuarantined(common)).isFalse();
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(first.refusedFor(new RequestKeys(HARMLESS, Map.of(bad, "dead", common, "ab"))))
                .containsExactly(bad);
        assertThat(first.refusedFor(new RequestKeys(HARMLESS, Map.of(common, "ab")))).isEmpty();
    }

    /**
     * Guards against refusing harmless content for an hour because it was on several targets that
     * ended within seconds, beside nothing that explains it; it is blamed if no answer follows.
     */
    @Test
    void contentThatWasAnsweredIsNotBlamedForTenSeconds() {
        GossipQuarantine first = daemon();
        lose(first, "earlier", CRASHING);
        first.onCompleted(RequestKeys.ofContent(HARMLESS));
        for (String target : List.of("a", "b", "c")) {
            time.advanceMillis(400);
            lose(first, target, HARMLESS);
        }
        assertThat(first.isQuarantined(HARMLESS)).isFalse();
        time.advance(Duration.ofSeconds(9));
        first.removeExpired();
        assertThat(first.isQuarantined(HARMLESS)).isTrue();
    }

    /**
     * Guards against refusing all requests of a service for the part that they have in common,
     * because only crashing ones came for a while.
     */
    @Test
    void partCommonToCrashingContentsAndPartsIsServed() {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("plain", "ab");
        Fingerprint bad = FingerprintCalculator.ofPart("plain", "dead");
        for (int target = 0; target < 6; target++) {
            time.advance(Duration.ofSeconds(2));
            lose(first, "target-" + target, common, target < 3 ? CRASHING : bad);
            assertThat(first.refusedFor(new RequestKeys(HARMLESS, Map.of(common, "ab")))).isEmpty();
        }
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(first.refusedFor(new RequestKeys(HARMLESS, Map.of(bad, "dead", common, "ab"))))
                .contains(bad);
    }

    /**
     * Guards against refusing harmless content that another daemon got an answer for: reports had
     * room for what crashes targets only, and the daemon that got the answer ended soon after.
     */
    @Test
    void answersAreToldBesideManyCrashingContents() {
        GossipQuarantine first = daemon();
        GossipQuarantine second = daemon();
        for (String target : List.of("x", "y", "z")) {
            lose(second, target, HARMLESS);
        }
        first.merge(second.nextReport(), "peer");
        for (int crashing = 10; crashing < 25; crashing++) {
            for (String target : List.of("a", "b", "c")) {
                lose(first, target + crashing, content(crashing));
            }
        }
        first.onCompleted(RequestKeys.ofContent(HARMLESS));
        for (int round = 0; round < 3; round++) {
            tell(first, second);
        }
        assertThat(second.isSuspect(HARMLESS)).isFalse();
        assertThat(second.isQuarantined(content(24))).isTrue();
    }

    /** Guards against contents that excuse each other because they always ran together. */
    @Test
    void contentsThatRanTogetherAreRefusedAfterTwoMoreLossesEach() {
        GossipQuarantine first = daemon();
        Fingerprint otherCrashing = content(3);
        for (String target : List.of("a", "b", "c")) {
            lose(first, target, CRASHING, otherCrashing);
            time.advanceMillis(100);
        }
        assertThat(List.of(CRASHING, otherCrashing).stream().filter(first::isQuarantined))
                .hasSize(1);
        for (String target : List.of("d", "e", "f", "g")) {
            lose(first, target, first.isQuarantined(CRASHING) ? otherCrashing : CRASHING);
            time.advanceMillis(100);
        }
        assertThat(first.isQuarantined(CRASHING)).isTrue();
        assertThat(first.isQuarantined(otherCrashing)).isTrue();
    }

    /** Guards against a daemon that refuses completed content because it has read an old record. */
    @Test
    void daemonThatStartsWithOldLossesIsToldThatTheContentWasCompleted() {
        GossipQuarantine first = daemon();
        lose(first, "a", HARMLESS);
        lose(first, "b", HARMLESS);
        lose(first, "c", HARMLESS);
        List<SuspectReport> record = first.nextReport();
        first.onCompleted(RequestKeys.ofContent(HARMLESS));
        time.advance(Duration.ofSeconds(30));
        first.removeExpired();
        GossipQuarantine second = daemon();
        second.merge(record, "store");
        assertThat(second.isQuarantined(HARMLESS)).isTrue();
        tell(second, first);
        tell(first, second);
        assertThat(second.isQuarantined(HARMLESS)).isFalse();
    }

    /** Guards against reports that outgrow a datagram when an engine with many requests is lost. */
    @Test
    void reportsAreBoundedAndTellTheMostSuspectContentFirst() {
        GossipQuarantine first = daemon();
        for (int number = 10; number < 200; number++) {
            lose(first, "a", content(number));
        }
        lose(first, "b", CRASHING);
        lose(first, "c", CRASHING);
        lose(first, "d", CRASHING);
        List<SuspectReport> report = first.nextReport();
        assertThat(report.get(0).key()).isEqualTo(CRASHING);
        assertThat(report.stream().mapToInt(one -> one.losses().size()).sum()).isBetween(10, 24);
        time.advance(Duration.ofSeconds(3));
        first.removeExpired();
        assertThat(first.nextReport()).hasSizeBetween(1, 2);
    }

    /** Guards against reports that tell of common parts only, which change with each loss. */
    @Test
    void reportTellsOfTheCrashingPartBesideManyCommonOnes() {
        GossipQuarantine first = daemon();
        Fingerprint bad = FingerprintCalculator.ofPart("engines", "dead");
        Map<Fingerprint, String> common = new HashMap<>();
        for (int part = 0; part < 6; part++) {
            common.put(FingerprintCalculator.ofPart("engines", "common-" + part), "common");
        }
        for (int target = 0; target < 8; target++) {
            for (Fingerprint part : common.keySet()) {
                lose(first, "target-" + target, part);
            }
            if (target < GossipQuarantine.THRESHOLD) {
                lose(first, "target-" + target, bad, content(100 + target));
            }
            first.onCompleted(new RequestKeys(HARMLESS, common));
            time.advanceMillis(400);
        }
        List<SuspectReport> report = first.nextReport();
        assertThat(report.get(0).key()).isEqualTo(bad);
        assertThat(report).extracting(SuspectReport::key).containsAll(common.keySet());
        GossipQuarantine second = daemon();
        second.merge(report, "peer");
        assertThat(second.isQuarantined(bad)).isTrue();
        assertThat(common.keySet()).noneMatch(second::isSuspect);
    }

    /** Guards against a loss that only a daemon knows that was cut off when it saw it. */
    @Test
    void eachSuspectIsToldAgainAfterACut() {
        GossipQuarantine first = daemon();
        GossipQuarantine second = daemon();
        lose(first, "a", CRASHING, HARMLESS);
        time.advance(Duration.ofSeconds(30));
        first.removeExpired();
        tell(first, second);
        tell(first, second);
        assertThat(second.isSuspect(CRASHING)).isTrue();
        assertThat(second.isSuspect(HARMLESS)).isTrue();
    }

    /** Guards against losses that do not reach all daemons of a large fleet, or crowd its links. */
    @Test
    void daemonsOfALargeFleetLearnOfTheLossesFromAFewEach() {
        List<GossipQuarantine> daemons =
                Stream.generate(this::daemon).limit(DAEMONS_OF_A_LARGE_FLEET).toList();
        for (int target = 0; target < GossipQuarantine.THRESHOLD; target++) {
            lose(daemons.get(target), "target-" + target, CRASHING, content(10 + target));
        }
        Random random = new Random(7);
        for (int round = 0; round < ROUNDS_IN_TWO_SECONDS; round++) {
            for (GossipQuarantine daemon : daemons) {
                List<SuspectReport> report = daemon.nextReport();
                assertThat(report.stream().mapToInt(one -> one.losses().size()).sum())
                        .isLessThanOrEqualTo(24);
                for (int peer = 0; peer < PEERS_OF_A_ROUND; peer++) {
                    daemons.get(random.nextInt(daemons.size())).merge(report, "peer");
                }
            }
            time.advanceMillis(200);
            daemons.forEach(GossipQuarantine::removeExpired);
        }
        assertThat(daemons).allMatch(daemon -> daemon.isQuarantined(CRASHING));
        assertThat(daemons).noneMatch(daemon -> daemon.isQuarantined(content(10)));
    }

    /**
     * Guards against refusing all requests with a common part that was answered, since three
     * contents that have it crashed a target each. What was never answered is refused from the
     * third loss on.
     */
    @ParameterizedTest
    @CsvSource({"true, 3, false", "true, 4, false", "true, 5, true", "false, 3, true"})
    void answeredPartIsBlamedForMoreLosses(boolean wasAnswered, int losses, boolean refused) {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("engines", "ab");
        if (wasAnswered) {
            first.onAnswered(Set.of(common));
        }
        time.advance(Duration.ofSeconds(20));
        first.removeExpired();
        for (int target = 0; target < losses; target++) {
            time.advance(Duration.ofSeconds(4));
            lose(first, "target-" + target, common, content(100 + target));
        }
        assertThat(first.refusedFor(new RequestKeys(HARMLESS, Map.of(common, "ab"))).isEmpty())
                .isEqualTo(!refused);
    }

    /**
     * Guards against a refused part that nothing could ever clear, and against probes that end more
     * targets than may be lost: by one daemon, with growing pauses, three at most.
     */
    @Test
    void refusedPartIsProbedByOneDaemonAFewTimes() {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("engines", "ab");
        RequestKeys keys = new RequestKeys(HARMLESS, Map.of(common, "ab"));
        for (int target = 0; target < 3; target++) {
            time.advance(Duration.ofSeconds(4));
            lose(first, "target-" + target, common);
        }
        PartProbes probes =
                new PartProbes(first, () -> true, time, (kind, subject, inputs, outcome) -> {});
        PartProbes others =
                new PartProbes(first, () -> false, time, (kind, subject, inputs, outcome) -> {});
        List<Long> probedAfter = new ArrayList<>();
        for (long second = 1; second <= 3_000; second++) {
            time.advance(Duration.ofSeconds(1));
            assertThat(others.tryBegin(keys, first.refusedFor(keys))).isFalse();
            if (probes.tryBegin(keys, first.refusedFor(keys))) {
                probedAfter.add(second);
            }
        }
        assertThat(probedAfter).containsExactly(10L, 40L, 130L);
        first.onCompleted(keys);
        assertThat(first.refusedFor(keys)).isEmpty();
    }

    /** Guards against probes after more losses than the rule allows, and of crashing contents. */
    @ParameterizedTest
    @CsvSource({
        "5, 1, false, true",
        "6, 1, false, false",
        // Targets that end together count once, also when they are many.
        "3, 4, false, true",
        "3, 1, true, false"
    })
    void partWithManyLossesOrACrashingContentIsNotProbed(
            int losses, int targets, boolean sameContent, boolean probed) {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("engines", "ab");
        for (int target = 0; target < losses; target++) {
            time.advance(Duration.ofSeconds(4));
            for (int together = 0; together < targets; together++) {
                lose(first, "target-" + target + "-" + together, common);
            }
            if (sameContent) {
                lose(first, "other-" + target, CRASHING);
            }
        }
        time.advance(Duration.ofMinutes(1));
        PartProbes probes =
                new PartProbes(first, () -> true, time, (kind, subject, inputs, outcome) -> {});
        RequestKeys keys = new RequestKeys(sameContent ? CRASHING : HARMLESS, Map.of(common, "ab"));
        assertThat(probes.tryBegin(keys, Set.of(common))).isEqualTo(probed);
    }

    /**
     * Guards against a common part that stays refused, since its probe had a part that crashes
     * targets: each loss makes the next probe less likely.
     */
    @Test
    void probeHasNoOtherSuspectPart() {
        GossipQuarantine first = daemon();
        Fingerprint common = FingerprintCalculator.ofPart("engines", "ab");
        Fingerprint crashing = FingerprintCalculator.ofPart("engines", "dead");
        for (int target = 0; target < 3; target++) {
            time.advance(Duration.ofSeconds(4));
            lose(first, "target-" + target, common);
        }
        lose(first, "target-2", crashing);
        time.advance(Duration.ofMinutes(1));
        PartProbes probes =
                new PartProbes(first, () -> true, time, (kind, subject, inputs, outcome) -> {});
        Map<Fingerprint, String> parts = Map.of(common, "ab", crashing, "dead");
        assertThat(probes.tryBegin(new RequestKeys(HARMLESS, parts), Set.of(common))).isFalse();
        RequestKeys keys = new RequestKeys(HARMLESS, Map.of(common, "ab"));
        assertThat(probes.tryBegin(keys, Set.of(common))).isTrue();
    }
}
