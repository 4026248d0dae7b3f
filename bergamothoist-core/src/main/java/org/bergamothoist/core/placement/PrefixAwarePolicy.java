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
    private static final double BRANCHING_RATIO = 0.5;

    /** Share of a target's stream capacity that one prefix may take before it gets more homes. */
    private static final double STREAM_SHARE_PER_TARGET = 0.5;

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
        int affinityBlock = affinityBlock(request.chain(), view.index().popularity());
        int preferredCount = preferredTargetCount(request.chain(), affinityBlock, view);
        PlacementCost cost = cost(request.chain(), affinityBlock, preferredCount, eligible, view);
        Candidate best = null;
        for (TargetId target :
                candidates(request.chain(), affinityBlock, preferredCount, eligible, view)) {
            if (eligible.contains(target) && request.allows(target, view)) {
                best = cheaper(best, evaluate(request.chain(), target, cost, view));
            }
        }
        // A request waits for the best target rather than being recomputed by another with room,
        // since recomputation takes room from all the others.
        return best == null || !isWithinQueueingLimit(best)
                ? Optional.empty()
                : Optional.of(decision(best, preferredCount, request, view));
    }

    /**
     * Returns the index of the block whose homes the prompt gets: the first block that far fewer
     * prompts share than the block before it. Below a house instruction this is the first block of
     * the customer's history, whether or not the customer was seen before, so that all daemons
     * agree on it.
     */
    static int affinityBlock(BlockHashChain chain, BlockPopularity popularity) {
        double previousCount = 0;
        for (int index = 0; index < chain.length(); index++) {
            double count = popularity.count(chain.hash(index));
            if (index > 0 && count < BRANCHING_RATIO * previousCount) {
                return index;
            }
            previousCount = count;
        }
        return chain.length() - 1;
    }

    private int preferredTargetCount(BlockHashChain chain, int affinityBlock, PlacementView view) {
        if (affinityBlock < 0) {
            return 0;
        }
        LoadSettings load = view.load().settings();
        double streamSeconds = load.streamDuration().toMillis() / MILLISECONDS_PER_SECOND;
        double requestsPerSecond =
                view.index().popularity().requestsPerSecond(chain.hash(affinityBlock))
                        * view.load().liveDaemons();
        double streamShare = requestsPerSecond * streamSeconds / load.streamsPerTarget();
        int additional = (int) Math.ceil(streamShare / STREAM_SHARE_PER_TARGET) - 1;
        return Math.min(
                settings.maximumPreferredTargets(),
                settings.preferredTargets() + Math.max(0, additional));
    }

    private Set<TargetId> candidates(
            BlockHashChain chain,
            int affinityBlock,
            int preferredCount,
            EligibleTargets eligible,
            PlacementView view) {
        Set<TargetId> candidates = new LinkedHashSet<>();
        if (affinityBlock >= 0) {
            candidates.addAll(eligible.preferredTargets(chain.hash(affinityBlock), preferredCount));
        }
        candidates.addAll(view.index().holders(chain, settings.maximumHolders()));
        List<TargetId> targets = eligible.targets();
        for (int count = 0; count < settings.randomTargets(); count++) {
            candidates.add(targets.get(random.nextInt(targets.size())));
        }
        return candidates;
    }

    private PlacementCost cost(
            BlockHashChain chain,
            int affinityBlock,
            int preferredCount,
            EligibleTargets eligible,
            PlacementView view) {
        double requestsPerSecond =
                affinityBlock < 0
                        ? 0
                        : view.index().popularity().requestsPerSecond(chain.hash(affinityBlock))
                                * view.load().liveDaemons();
        return new PlacementCost(
                settings.weights(),
                view.load(),
                view.load().dispatchesPerSecond() / eligible.targets().size(),
                requestsPerSecond,
                nextPreferredTarget(chain, affinityBlock, preferredCount, eligible, view));
    }

    /** Returns the home that the daemons agree to compute the prefix at next, if there is one. */
    private static Optional<TargetId> nextPreferredTarget(
            BlockHashChain chain,
            int affinityBlock,
            int preferredCount,
            EligibleTargets eligible,
            PlacementView view) {
        if (affinityBlock < 0) {
            return Optional.empty();
        }
        return eligible.preferredTargets(chain.hash(affinityBlock), preferredCount).stream()
                .filter(target -> view.index().matchedBlocks(target, chain) <= affinityBlock)
                .findFirst();
    }

    private static Candidate evaluate(
            BlockHashChain chain, TargetId target, PlacementCost cost, PlacementView view) {
        LoadEstimator load = view.load();
        int cachedBlocks = view.index().matchedBlocks(target, chain);
        double queueingSeconds = load.queueingSeconds(target);
        double prefillSeconds =
                (double) chain.uncachedTokens(cachedBlocks)
                        / load.settings().prefillTokensPerSecond();
        return new Candidate(
                target,
                cachedBlocks,
                queueingSeconds,
                cost.of(target, queueingSeconds, prefillSeconds));
    }

    /** Prefers the lower cost, then the earlier candidate. */
    private static Candidate cheaper(Candidate best, Candidate candidate) {
        return best == null || candidate.cost < best.cost ? candidate : best;
    }

    private boolean isWithinQueueingLimit(Candidate candidate) {
        return candidate.queueingSeconds * MILLISECONDS_PER_SECOND
                <= settings.maximumQueueingDelay().toMillis();
    }

    private PlacementDecision decision(
            Candidate best, int preferredCount, PlacementRequest request, PlacementView view) {
        boolean hot = preferredCount > settings.preferredTargets();
        boolean importIsFaster =
                settings.importTokensPerSecond() > view.load().settings().prefillTokensPerSecond();
        boolean incomplete = best.cachedBlocks < request.chain().length();
        return new PlacementDecision(
                best.target,
                best.cachedBlocks,
                Duration.ofMillis(Math.round(best.queueingSeconds * MILLISECONDS_PER_SECOND)),
                hot && importIsFaster && incomplete);
    }

    private record Candidate(
            TargetId target, int cachedBlocks, double queueingSeconds, double cost) {}
}
