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
 * Places a request at the candidate with the lowest {@link PlacementCost}. The number of candidates
 * is bounded: targets that hold a part of the prefix by the cache index, a few preferred targets of
 * the prefix on the consistent-hashing ring, and some random ones. Confined to the control thread.
 */
public final class PrefixAwarePolicy implements PlacementPolicy {

    /**
     * Ratio of a block's request count to its predecessor's below which the prompts are taken to
     * branch; the block then belongs to far fewer prompts than the one before it.
     */
    private static final double BRANCHING_RATIO = 0.5;

    /**
     * Share of a target's stream capacity that one prefix may use before it gets another preferred
     * target.
     */
    private static final double STREAM_SHARE_PER_TARGET = 0.5;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PlacementSettings settings;
    private final RandomGenerator random;

    /** Creates a policy that draws its random candidates from the given generator. */
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
        // If the best target is too busy, the request waits for it. Recomputing the prefix
        // elsewhere would take capacity from all other requests.
        return best == null || !isWithinQueueingLimit(best)
                ? Optional.empty()
                : Optional.of(decision(best, preferredCount, request, view));
    }

    /**
     * Returns the index of the affinity block, whose hash determines the prompt's preferred
     * targets: the first block that far fewer prompts share than the block before it, or the last
     * block if there is none. After a common system prompt this is the first block of the
     * conversation's history, whether or not the conversation was seen before, so that all daemons
     * choose the same block.
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

    /**
     * Returns the first preferred target that does not hold the prefix yet; all daemons would
     * compute it there next.
     */
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

    /** Returns the candidate with the lower cost, or the earlier one if they are equal. */
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
