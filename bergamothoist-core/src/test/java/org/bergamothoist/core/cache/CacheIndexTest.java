package org.bergamothoist.core.cache;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CacheIndexTest {

    private static final TargetId ENGINE = new TargetId("engine-1");
    private static final EngineIncarnation FIRST_INCARNATION = new EngineIncarnation("run-1");
    private static final EngineIncarnation SECOND_INCARNATION = new EngineIncarnation("run-2");
    private static final BlockHashChain CHAIN = chain(1, 2, 3);

    private final ManualScheduler time = new ManualScheduler();
    private final CacheIndex index = index(1_000);

    private CacheIndex index(int entries) {
        return new CacheIndex(
                new CacheIndexSettings(entries, 256, Duration.ofSeconds(20)),
                time,
                (guarantee, holds, detail) -> assertThat(holds).as(detail.get()).isTrue());
    }

    private static BlockHashChain chain(long... hashes) {
        return new BlockHashChain(hashes, hashes.length * 10 + 5, 10);
    }

    private static CacheEvent stored(long sequence, long hash) {
        return new CacheEvent(sequence, CacheEvent.Kind.STORED, hash);
    }

    private static CacheEvent removed(long sequence, long hash) {
        return new CacheEvent(sequence, CacheEvent.Kind.REMOVED, hash);
    }

    private void applyEvents(EngineIncarnation incarnation, CacheEvent... events) {
        index.onEvents(ENGINE, new CacheEventPage(incarnation, List.of(events)));
    }

    /** Guards against counting blocks after a missing one, which an engine cannot use. */
    @Test
    void countsOnlyConsecutiveLeadingBlocks() {
        applyEvents(FIRST_INCARNATION, stored(1, 1), stored(2, 3));

        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isEqualTo(1);
    }

    /**
     * Guards against relying on the cache of a replaced incarnation, whichever message reveals the
     * new one.
     */
    @ParameterizedTest
    @CsvSource({"report", "event", "answer", "snapshot"})
    void anotherIncarnationDropsAllEntries(String source) {
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 0);

        switch (source) {
            case "report" -> index.observeIncarnation(ENGINE, SECOND_INCARNATION);
            case "event" -> applyEvents(SECOND_INCARNATION, stored(7, 99));
            case "answer" -> index.onAnswer(ENGINE, SECOND_INCARNATION, chain(9), 0);
            default ->
                    index.onSnapshot(
                            ENGINE, new CacheSnapshot(SECOND_INCARNATION, 1, List.of(99L)));
        }

        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isZero();
        assertThat(index.holders(CHAIN, 5)).isEmpty();
        assertThat(index.incarnation(ENGINE)).contains(SECOND_INCARNATION);
    }

    /** Guards against a late message of the old incarnation restoring its entries. */
    @Test
    void messagesOfReplacedIncarnationAreIgnored() {
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 0);
        index.observeIncarnation(ENGINE, SECOND_INCARNATION);

        applyEvents(FIRST_INCARNATION, stored(4, 1));
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 30);
        index.onSnapshot(ENGINE, new CacheSnapshot(FIRST_INCARNATION, 9, List.of(1L, 2L, 3L)));

        assertThat(index.incarnation(ENGINE)).contains(SECOND_INCARNATION);
        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isZero();
    }

    /**
     * Guards against using entries between a lost connection and the next confirmation of the
     * incarnation.
     */
    @Test
    void lostConnectionHidesEntriesUntilTheIncarnationIsConfirmed() {
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 0);
        long epoch = index.connectionEpoch(ENGINE);
        index.onConnectionLost(ENGINE);
        index.onDispatch(ENGINE, CHAIN);

        assertThat(index.observeIncarnation(ENGINE, FIRST_INCARNATION, epoch))
                .as("observation from before the loss")
                .isFalse();
        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isZero();
        assertThat(index.holders(CHAIN, 5)).isEmpty();

        index.observeIncarnation(ENGINE, FIRST_INCARNATION);
        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isEqualTo(3);
    }

    /** Guards against applying an event twice or an older event after a newer one. */
    @Test
    void duplicatedAndReorderedEventsAreIgnored() {
        applyEvents(FIRST_INCARNATION, stored(1, 1), removed(2, 1));
        applyEvents(FIRST_INCARNATION, stored(1, 1));

        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isZero();
        assertThat(index.lastSequence(ENGINE)).isEqualTo(2);
    }

    /** Guards against an index that stays incorrect after lost events. */
    @Test
    void eventGapRequiresSnapshotThatReplacesEntries() {
        index.onSnapshot(ENGINE, new CacheSnapshot(FIRST_INCARNATION, 5, List.of(1L, 2L)));
        assertThat(index.needsResynchronisation(ENGINE)).isFalse();

        applyEvents(FIRST_INCARNATION, stored(8, 3));
        assertThat(index.needsResynchronisation(ENGINE)).isTrue();

        index.onSnapshot(ENGINE, new CacheSnapshot(FIRST_INCARNATION, 9, List.of(1L)));
        applyEvents(FIRST_INCARNATION, stored(7, 2), stored(9, 2));
        assertThat(index.needsResynchronisation(ENGINE)).isFalse();
        assertThat(index.matchedBlocks(ENGINE, CHAIN)).isEqualTo(1);
    }

    /** Guards against one organisation's or version's prompt matching another's cache. */
    @Test
    void chainsOfOtherOrganisationsOrVersionsNeverMatch() {
        BlockHasher hasher = new BlockHasher(1);
        Prompt prompt = new Prompt("the same prompt for everybody");
        ModelKey model = new ModelKey("atelier", ModelKey.NO_ADAPTER, "1");
        ModelKey newer = new ModelKey("atelier", ModelKey.NO_ADAPTER, "2");
        OrganisationId clinic = new OrganisationId("clinic");
        index.onAnswer(ENGINE, FIRST_INCARNATION, hasher.hashChain(clinic, model, prompt), 0);

        BlockHashChain otherOrganisationsChain =
                hasher.hashChain(new OrganisationId("workshop"), model, prompt);
        assertThat(index.matchedBlocks(ENGINE, otherOrganisationsChain)).isZero();
        assertThat(index.holders(otherOrganisationsChain, 5)).isEmpty();
        assertThat(index.matchedBlocks(ENGINE, hasher.hashChain(clinic, newer, prompt))).isZero();
    }

    /** Guards against a peer's outdated report on an engine that has restarted since. */
    @Test
    void hotPrefixesOfAnotherIncarnationAreNotImported() {
        index.observeIncarnation(ENGINE, FIRST_INCARNATION);
        index.onDispatch(ENGINE, CHAIN);
        index.onDispatch(ENGINE, CHAIN);
        CacheIndex restarted = index(1_000);
        CacheIndex current = index(1_000);
        current.observeIncarnation(ENGINE, SECOND_INCARNATION);

        restarted.importHotPrefixes(index.hottestPrefixes(10));
        current.importHotPrefixes(index.hottestPrefixes(10));

        assertThat(restarted.matchedBlocks(ENGINE, CHAIN)).isEqualTo(3);
        assertThat(current.matchedBlocks(ENGINE, CHAIN)).isZero();
    }

    /** Guards against unbounded memory and against corrupt links between entries after eviction. */
    @Property(tries = 200, seed = "4711")
    void entryTableMatchesReferenceModelAndStaysBounded(@ForAll long seed) {
        Random random = new Random(seed);
        EntryTable table = new EntryTable(32);
        List<Long> expected = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            int owner = random.nextInt(3);
            long hash = random.nextInt(20);
            long key = owner * 100L + hash;
            expected.remove(key);
            if (random.nextInt(4) == 0) {
                table.remove(owner, hash);
            } else {
                table.put(owner, hash);
                expected.add(key);
                if (expected.size() > 32) {
                    expected.remove(0);
                }
            }
        }
        Set<Long> actual = new HashSet<>();
        LongStream.range(0, 20)
                .forEach(
                        hash -> {
                            int entry = table.firstWithHash(hash);
                            while (entry != EntryTable.NONE) {
                                actual.add(table.owner(entry) * 100L + hash);
                                entry = table.nextWithHash(entry);
                            }
                        });
        assertThat(actual).isEqualTo(new HashSet<>(expected));
        assertThat(table.size()).isEqualTo(expected.size());
        assertThat(table.capacity()).isLessThanOrEqualTo(32);
    }

    /** Guards against entries of a removed target counting for the next user of its slot. */
    @Test
    void reusedSlotDoesNotInheritEntriesOfRemovedTarget() {
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 0);
        index.removeTarget(ENGINE);
        TargetId successor = new TargetId("engine-2");
        index.observeIncarnation(successor, FIRST_INCARNATION);

        assertThat(index.matchedBlocks(successor, CHAIN)).isZero();
        assertThatCode(() -> index.holders(CHAIN, 5)).doesNotThrowAnyException();
        assertThat(index.holders(CHAIN, 5)).isEmpty();
    }

    /** Guards against stale entries counting again after owner numbers wrap around. */
    @Test
    void staleEntriesDoNotReappearWhenOwnerNumbersWrap() {
        index.onAnswer(ENGINE, FIRST_INCARNATION, CHAIN, 0);
        for (int run = 0; run < 1 << 16; run++) {
            index.observeIncarnation(ENGINE, new EngineIncarnation("later-" + run));
            assertThat(index.matchedBlocks(ENGINE, CHAIN)).isZero();
        }
    }
}
