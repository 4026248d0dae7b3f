package org.bergamothoist.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.placement.PlacementSettings;
import org.bergamothoist.core.placement.PlacementView;
import org.bergamothoist.core.placement.PlacementWeights;
import org.bergamothoist.core.placement.PrefixAwarePolicy;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Measures placement decisions and the cache index. */
final class PlacementSlopes {

    private static final int BLOCK_TOKENS = 4_000;
    private static final int CHAIN_BLOCKS = 5;
    private static final int CHAINS = 20_000;
    private static final int EVENTS_OF_PAGE = 100;
    private static final OrganisationId ORGANISATION = new OrganisationId("organisation-1");
    private static final ModelKey KEY = new ModelKey("model-1", "base", "v1");
    private static final EngineIncarnation INCARNATION = new EngineIncarnation("one");

    private final Meter meter;

    PlacementSlopes(Meter meter) {
        this.meter = meter;
    }

    void measure() {
        measure(8);
        measure(3_500);
        meter.heap(
                "heap of an index entry",
                "500,000 entries of 16 engines",
                500_000,
                () -> filled(16, 500_000 / CHAIN_BLOCKS));
        meter.heap(
                "heap of a ring of eligible targets",
                "3500 engines",
                3_500,
                () -> EligibleTargets.of(targets(3_500)));
    }

    private void measure(int engines) {
        String size = engines + " engines, " + CHAINS + " prefixes";
        View view = new View(engines);
        List<BlockHashChain> chains = fill(view.index, view.targets, CHAINS);
        PrefixAwarePolicy policy =
                new PrefixAwarePolicy(
                        PlacementSettings.standard(PlacementWeights.BRUNNER), new Random(1));
        meter.time(
                "placement of a request",
                size,
                20_000,
                index -> {
                    PlacementRequest request =
                            new PlacementRequest(
                                    chains.get(index % CHAINS),
                                    KEY,
                                    ORGANISATION,
                                    5,
                                    Set.of(),
                                    false);
                    if (policy.choose(request, view).isEmpty()) {
                        throw new IllegalStateException("no engine has room");
                    }
                });
        long[] sequence = new long[engines];
        meter.time(
                "cache events, a page of " + EVENTS_OF_PAGE,
                size,
                2_000,
                index -> {
                    int engine = index % Math.min(engines, 16);
                    List<CacheEvent> events = new ArrayList<>(EVENTS_OF_PAGE);
                    for (int event = 0; event < EVENTS_OF_PAGE; event++) {
                        BlockHashChain chain = chains.get((index * 7 + event) % CHAINS);
                        events.add(
                                new CacheEvent(
                                        ++sequence[engine],
                                        event % 2 == 0
                                                ? CacheEvent.Kind.STORED
                                                : CacheEvent.Kind.REMOVED,
                                        chain.hash(event % CHAIN_BLOCKS)));
                    }
                    view.index.onEvents(
                            view.targets.get(engine), new CacheEventPage(INCARNATION, events));
                });
    }

    private static CacheIndex filled(int engines, int chains) {
        View view = new View(engines);
        fill(view.index, view.targets, chains);
        return view.index;
    }

    private static List<BlockHashChain> fill(CacheIndex index, List<TargetId> targets, int count) {
        Random random = new Random(2);
        List<BlockHashChain> chains = new ArrayList<>();
        for (int chain = 0; chain < count; chain++) {
            BlockHashChain created =
                    new BlockHashChain(
                            random.longs(CHAIN_BLOCKS).toArray(),
                            CHAIN_BLOCKS * BLOCK_TOKENS + 100,
                            BLOCK_TOKENS);
            chains.add(created);
            TargetId target = targets.get(random.nextInt(targets.size()));
            index.observeIncarnation(target, INCARNATION);
            index.onDispatch(target, created);
        }
        return chains;
    }

    private static List<TargetId> targets(int count) {
        List<TargetId> targets = new ArrayList<>();
        for (int target = 0; target < count; target++) {
            targets.add(new TargetId("engine-" + target));
        }
        return targets;
    }

    private static final class View implements PlacementView {

        private final VirtualTimeScheduler time = new VirtualTimeScheduler();
        private final List<TargetId> targets;
        private final EligibleTargets eligible;
        private final CacheIndex index;
        private final LoadEstimator load;

        View(int engines) {
            targets = targets(engines);
            eligible = EligibleTargets.of(targets);
            index =
                    new CacheIndex(
                            CacheIndexSettings.standard(), time, (guarantee, holds, detail) -> {});
            load = new LoadEstimator(LoadSettings.standard(), time);
        }

        @Override
        public EligibleTargets eligible(ModelKey key) {
            return eligible;
        }

        @Override
        public boolean runsSuspect(TargetId target) {
            return false;
        }

        @Override
        public CacheIndex index() {
            return index;
        }

        @Override
        public LoadEstimator load() {
            return load;
        }
    }
}
