package org.bergamothoist.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bergamothoist.gateway.StoreFallbackInvariants.Kind;
import org.bergamothoist.gateway.StoreFallbackModel.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Draws returns of the store from older copies together with lost and late calls, restarts and
 * frozen daemons. Other seeds: -DstoreFallback.firstSeed=0 -DstoreFallback.seeds=1000
 */
class StoreFallbackModelTest {

    private static final int FIRST_SEED = Integer.getInteger("storeFallback.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("storeFallback.seeds", 40);

    /** Number of seeds within which each fault is found. */
    private static final int SEEDS_FOR_FAULT = 100;

    /** What holds even if the store does not announce its era. */
    private static final Set<Kind> HOLDS_WITHOUT_ERA =
            EnumSet.of(
                    Kind.EARLIER_HOLDER_GOES_ON,
                    Kind.VERSION_WENT_BACK,
                    Kind.REGISTRATION_WENT_BACK);

    private static StoreFallbackInvariants run(int seed, boolean announcing, Fault fault) {
        return new StoreFallbackModel(seed, announcing, fault).run();
    }

    private static Map<Kind, TreeMap<Integer, String>> violations(boolean announcing) {
        Map<Kind, TreeMap<Integer, String>> found = new EnumMap<>(Kind.class);
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            int current = seed;
            run(seed, announcing, Fault.NONE)
                    .violations()
                    .forEach(
                            (kind, violation) ->
                                    found.computeIfAbsent(kind, first -> new TreeMap<>())
                                            .put(current, violation));
        }
        found.forEach(
                (kind, seeds) ->
                        System.out.println(
                                kind + " broken by " + seeds.size() + " of " + SEEDS + " seeds"));
        return found;
    }

    /**
     * Guards against numbers that are sent by two daemons or fall, holders too close to each other,
     * records that stay unseen, and beliefs that go back.
     */
    @Test
    void allInvariantsHoldOverReturnsOfTheStore() {
        Map<Kind, TreeMap<Integer, String>> found = violations(true);
        List<String> trace =
                found.values().stream()
                        .findFirst()
                        .map(seeds -> run(seeds.firstKey(), true, Fault.NONE).traceBefore())
                        .orElse(List.of());
        assertThat(found).as(() -> String.join("\n", trace)).isEmpty();
    }

    /** Guards against a model that draws nothing by which an invariant can be broken. */
    @Test
    void runsHaveOrdersOfSeveralHoldersAndSeveralReturns() {
        int orders = 0;
        int holders = 0;
        int returns = 0;
        for (int seed = 0; seed < 10; seed++) {
            StoreFallbackModel model = new StoreFallbackModel(seed, true, Fault.NONE);
            orders += model.run().orders();
            holders += model.invariants.holders();
            returns += model.returns();
        }
        assertThat(orders).isGreaterThan(500);
        assertThat(holders).isGreaterThanOrEqualTo(15);
        assertThat(returns).isGreaterThanOrEqualTo(30);
    }

    private static Set<Kind> consequences(Fault fault) {
        return switch (fault) {
            case NONE -> Set.of();
            case NUMBERS_FROM_OFFSETS_ALONE, EMPTY_LOG_TAKEN_OVER_AT_ONCE ->
                    Set.of(Kind.NUMBER_SHARED, Kind.NUMBER_FELL, Kind.HOLDERS_TOO_CLOSE);
            case HOLDER_IGNORES_LATER_ERA -> Set.of(Kind.EARLIER_HOLDER_GOES_ON);
            case APPEND_OF_EARLIER_ERA_CONFIRMED ->
                    Set.of(Kind.NUMBER_SHARED, Kind.HOLDERS_TOO_CLOSE);
            case FOLLOWER_GOES_ON -> Set.of(Kind.RECORD_UNSEEN);
            case MIRROR_ORDERS_BY_OFFSET_ALONE -> Set.of(Kind.RECORD_UNSEEN);
            case LISTING_DELETES_WHAT_THE_COPY_LACKS -> Set.of(Kind.TARGET_LOST);
        };
    }

    /** Guards against a model that does not find the faults for which it was written. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void faultIsFound(Fault fault) {
        Set<Kind> found = EnumSet.noneOf(Kind.class);
        int seed = 0;
        while (found.isEmpty() && seed < SEEDS_FOR_FAULT) {
            found.addAll(run(seed, true, fault).violations().keySet());
            found.retainAll(consequences(fault));
            seed++;
        }
        System.out.println(fault + " found by " + seed + " seeds: " + found);
        assertThat(found).isNotEmpty();
    }

    /** A fallback is only inferred then, which a topic that has grown past its end prevents. */
    @Test
    void withoutEraHoldersStopAndBeliefsDoNotGoBack() {
        assertThat(violations(false).keySet()).doesNotContainAnyElementsOf(HOLDS_WITHOUT_ERA);
    }
}
