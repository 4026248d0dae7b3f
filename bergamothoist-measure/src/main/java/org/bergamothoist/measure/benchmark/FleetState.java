package org.bergamothoist.measure.benchmark;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.PlacementDecision;
import org.bergamothoist.core.placement.PlacementPolicy;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.placement.PlacementSettings;
import org.bergamothoist.core.placement.PlacementView;
import org.bergamothoist.core.placement.PlacementWeights;
import org.bergamothoist.core.placement.PrefixAwarePolicy;
import org.bergamothoist.core.prompt.BlockHashChain;

/** A daemon's placement state at a fleet size, filled by its own dispatches. */
final class FleetState implements PlacementView {

    static final int BLOCK_TOKENS = 4_000;

    private static final long SEED = 42;
    private static final int HOUSE_BLOCKS = 2;
    private static final int CHAIN_BLOCKS = 20;
    private static final int CUSTOMERS_PER_ORGANISATION = 12;
    private static final int QUESTION_TOKENS = 1_000;

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final CacheIndex index;
    private final LoadEstimator load;
    private final PlacementPolicy policy;
    private final List<TargetId> targets = new ArrayList<>();
    private final Map<ModelKey, EligibleTargets> eligible = new HashMap<>();
    private final List<PlacementRequest> requests = new ArrayList<>();

    FleetState(FleetSize size, int maximumEntries) {
        InstantSource clock = InstantSource.system();
        index =
                new CacheIndex(
                        new CacheIndexSettings(maximumEntries, 1 << 16, Duration.ofSeconds(20)),
                        clock,
                        (guarantee, holds, detail) -> {});
        load = new LoadEstimator(LoadSettings.standard(), clock);
        RandomGenerator own = random.split();
        policy = new PrefixAwarePolicy(PlacementSettings.standard(PlacementWeights.BRUNNER), own);
        addTargets(size);
        addRequests(size);
    }

    private void addTargets(FleetSize size) {
        Map<ModelKey, List<TargetId>> byModel = new HashMap<>();
        for (int number = 0; number < size.targets(); number++) {
            TargetId target = new TargetId("engine-" + number);
            targets.add(target);
            index.observeIncarnation(target, new EngineIncarnation("run-" + number));
            byModel.computeIfAbsent(model(number % size.models()), key -> new ArrayList<>())
                    .add(target);
        }
        byModel.forEach((key, members) -> eligible.put(key, EligibleTargets.of(members)));
    }

    private static ModelKey model(int number) {
        return new ModelKey("model-" + number, ModelKey.NO_ADAPTER, "1");
    }

    private void addRequests(FleetSize size) {
        for (int number = 0; number < size.organisations(); number++) {
            long[] house = random.longs(HOUSE_BLOCKS).toArray();
            for (int customer = 0; customer < CUSTOMERS_PER_ORGANISATION; customer++) {
                long[] hashes = random.longs(CHAIN_BLOCKS).toArray();
                System.arraycopy(house, 0, hashes, 0, HOUSE_BLOCKS);
                int tokens = CHAIN_BLOCKS * BLOCK_TOKENS + QUESTION_TOKENS;
                requests.add(
                        new PlacementRequest(
                                new BlockHashChain(hashes, tokens, BLOCK_TOKENS),
                                model(number % size.models()),
                                new OrganisationId("organisation-" + number),
                                5,
                                Set.of(),
                                false));
            }
        }
    }

    /** Dispatches every request once and finishes it at once. */
    void fill() {
        for (PlacementRequest request : requests) {
            policy.choose(request, this)
                    .map(PlacementDecision::target)
                    .ifPresent(target -> index.onDispatch(target, request.chain()));
        }
    }

    PlacementRequest anyRequest() {
        return requests.get(random.nextInt(requests.size()));
    }

    TargetId anyTarget() {
        return targets.get(random.nextInt(targets.size()));
    }

    long anyHash() {
        return random.nextLong();
    }

    PlacementPolicy policy() {
        return policy;
    }

    List<TargetId> targets() {
        return targets;
    }

    @Override
    public EligibleTargets eligible(ModelKey key) {
        return eligible.get(key);
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
