package org.bergamothoist.core.placement;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.cache.BlockPopularity;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * Places a request where the predicted time to first token plus the weighted recomputation is
 * smallest. It looks at a bounded number of candidates: targets that the index names, a few homes
 * of the prefix, and random ones. Confined to the control thread.
 */
public final class PrefixAwarePolicy implements PlacementPolicy {

    /** A block whose count falls below this share of its parent's begins a narrower level. */
    private static final double LEVEL_SHARE = 0.5;

    /** Share of a target's stream capacity that one prefix may take before it gets more homes. */
    private static final double HOME_SHARE = 0.5;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PlacementSettings settings;
    private final RandomGenerator random;

    /** Creates a policy. */
    public PrefixAwarePolicy(PlacementSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    @Override
    public Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view) {
        EligibleTargets eligible = view.eligible(request.modelKey());
        if (eligible.targets().isEmpty()) {
            return Optional.empty();
        }
        int homeBlock = homeBlock(request.chain(), view.index().popularity());
        int homes = homes(request.chain(), homeBlock, view);
        PlacementCost cost = cost(request.chain(), homeBlock, homes, eligible, view);
        Candidate best = null;
        for (TargetId target : candidates(request.chain(), homeBlock, homes, eligible, view)) {
            if (eligible.contains(target) && request.admits(target, view)) {
                best = better(best, evaluate(request.chain(), target, cost, view));
            }
        }
        // A request waits for the best target rather than being recomputed by another with room,
        // since recomputation takes room from all the others.
        return best == null || !hasRoom(best)
                ? Optional.empty()
                : Optional.of(decision(best, homes, request, view));
    }

    /**
     * Returns the index of the block whose homes the prompt gets: the first block that far fewer
     * prompts share than the block before it. Below a house instruction this is the first block of
     * the customer's history, whether or not the customer was seen before, so that all daemons
     * agree on it.
     */
    static int homeBlock(BlockHashChain chain, BlockPopularity popularity) {
        double above = 0;
        for (int index = 0; index < chain.length(); index++) {
            double count = popularity.count(chain.hash(index));
            if (index > 0 && count < LEVEL_SHARE * above) {
                return index;
            }
            above = count;
        }
        return chain.length() - 1;
    }

    private int homes(BlockHashChain chain, int homeBlock, PlacementView view) {
        if (homeBlock < 0) {
            return 0;
        }
        LoadSettings load = view.load().settings();
        double streamSeconds = load.streamDuration().toMillis() / MILLISECONDS_PER_SECOND;
        double rate = view.index().popularity().rate(chain.hash(homeBlock)) * view.load().daemons();
        double share = rate * streamSeconds / load.streamsPerTarget();
        int further = (int) Math.ceil(share / HOME_SHARE) - 1;
        return Math.min(settings.maximumHomes(), settings.homes() + Math.max(0, further));
    }

    private Set<TargetId> candidates(
            BlockHashChain chain,
            int homeBlock,
            int homes,
            EligibleTargets eligible,
            PlacementView view) {
        Set<TargetId> candidates = new LinkedHashSet<>();
        if (homeBlock >= 0) {
            candidates.addAll(eligible.homes(chain.hash(homeBlock), homes));
        }
        candidates.addAll(view.index().holders(chain, settings.holders()));
        List<TargetId> targets = eligible.targets();
        for (int count = 0; count < settings.randomTargets(); count++) {
            candidates.add(targets.get(random.nextInt(targets.size())));
        }
        return candidates;
    }

    private PlacementCost cost(
            BlockHashChain chain,
            int homeBlock,
            int homes,
            EligibleTargets eligible,
            PlacementView view) {
        double rate =
                homeBlock < 0
                        ? 0
                        : view.index().popularity().rate(chain.hash(homeBlock))
                                * view.load().daemons();
        return new PlacementCost(
                settings.weights(),
                view.load(),
                view.load().dispatchesPerSecond() / eligible.targets().size(),
                rate,
                nextHome(chain, homeBlock, homes, eligible, view));
    }

    /** Returns the home that the daemons agree to compute the prefix at next, if there is one. */
    private static Optional<TargetId> nextHome(
            BlockHashChain chain,
            int homeBlock,
            int homes,
            EligibleTargets eligible,
            PlacementView view) {
        if (homeBlock < 0) {
            return Optional.empty();
        }
        return eligible.homes(chain.hash(homeBlock), homes).stream()
                .filter(home -> view.index().matchedBlocks(home, chain) <= homeBlock)
                .findFirst();
    }

    private static Candidate evaluate(
            BlockHashChain chain, TargetId target, PlacementCost cost, PlacementView view) {
        LoadView load = view.load();
        int cachedBlocks = view.index().matchedBlocks(target, chain);
        double queueing = load.queueingSeconds(target);
        double prefill =
                (double) chain.uncachedTokens(cachedBlocks)
                        / load.settings().prefillTokensPerSecond();
        return new Candidate(target, cachedBlocks, queueing, cost.of(target, queueing, prefill));
    }

    /** Prefers the lower cost, then the earlier candidate. */
    private static Candidate better(Candidate best, Candidate candidate) {
        return best == null || candidate.cost < best.cost ? candidate : best;
    }

    private boolean hasRoom(Candidate candidate) {
        return candidate.queueing * MILLISECONDS_PER_SECOND
                <= settings.maximumQueueingDelay().toMillis();
    }

    private PlacementDecision decision(
            Candidate best, int homes, PlacementRequest request, PlacementView view) {
        boolean hot = homes > settings.homes();
        boolean cheaper =
                settings.importTokensPerSecond() > view.load().settings().prefillTokensPerSecond();
        boolean incomplete = best.cachedBlocks < request.chain().length();
        return new PlacementDecision(
                best.target,
                best.cachedBlocks,
                Duration.ofMillis(Math.round(best.queueing * MILLISECONDS_PER_SECOND)),
                hot && cheaper && incomplete);
    }

    private record Candidate(TargetId target, int cachedBlocks, double queueing, double cost) {}
}
