package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.core.route.Organisation;

/**
 * Chooses the engine of a request: the one with the lowest predicted time to the first token.
 *
 * <p>Every daemon ranks the engines alike for a subject, by rendezvous hashing, so that a subject's
 * prompt parts gather at one engine without any messages; load and what is known of the caches
 * decide where that engine is not the best.
 */
public final class EnginePlacement {

    /** Time for which answers on the weights before keep their full value; stated by the users. */
    private static final Duration OUTDATED_GRACE_PERIOD = Duration.ofMillis(1_500);

    /** Longest time that a request is expected to wait at an engine before it begins. */
    private static final Duration MAXIMUM_QUEUEING_TIME = Duration.ofMillis(2_500);

    private final String dataCentre;
    private final TargetStateTable states;
    private final CachedPartIndex reportedParts;
    private final CachedPartIndex expectedParts;
    private final CacheStoreView cacheStore;
    private final EngineCosts costs;
    private final Duration longestOutdated;
    private final InstantSource clock;

    /**
     * Creates a placement.
     *
     * @param dataCentre where this daemon is
     * @param heldParts what engines report to hold
     * @param expectedParts what engines will hold after the requests of this daemon
     * @param cacheStore what the store beside the engines holds
     * @param longestOutdated time after which requests may no longer begin on outdated weights
     */
    public EnginePlacement(
            String dataCentre,
            TargetStateTable states,
            CachedPartIndex reportedParts,
            CachedPartIndex expectedParts,
            CacheStoreView cacheStore,
            EngineCosts costs,
            Duration longestOutdated,
            InstantSource clock) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.reportedParts = reportedParts;
        this.expectedParts = expectedParts;
        this.cacheStore = cacheStore;
        this.costs = costs;
        this.longestOutdated = longestOutdated;
        this.clock = clock;
    }

    /**
     * A chosen engine.
     *
     * @param prefillTokens prompt tokens that it presumably has to read
     * @param predicted predicted time to the first token, with penalties, in milliseconds
     * @param queueing predicted time until it begins with the request
     */
    public record Choice(
            RegisteredTarget target,
            int prefillTokens,
            double predictedMilliseconds,
            Duration queueingDelay) {}

    /** Tells since when a version of a model's weights is outdated, or nothing if it is not. */
    @FunctionalInterface
    public interface OutdatedSince {

        /** Returns when the first newer version was named, or empty. */
        Optional<Instant> of(int version);
    }

    /** What a request brings to its placement. */
    public record Requirements(
            PartitionedPrompt prompt, Organisation organisation, OutdatedSince outdatedSince) {}

    /**
     * Returns the best engine, or empty if none takes requests.
     *
     * @param tried identifiers of engines that are not to be chosen again
     */
    public Optional<Choice> choose(
            List<RegisteredTarget> engines, Requirements requirements, Set<String> excluded) {
        Instant now = clock.instant();
        List<RegisteredTarget> eligible =
                engines.stream()
                        .filter(engine -> !excluded.contains(engine.id()))
                        .filter(engine -> serves(engine, requirements.prompt().model()))
                        .filter(engine -> !isOutdatedTooLong(engine, requirements, now))
                        .toList();
        List<RegisteredTarget> accepting = states.acceptingOrAll(eligible, now);
        Optional<String> preferred =
                requirements
                        .prompt()
                        .affinityPart()
                        .flatMap(part -> preferredEngine(accepting, part.id()));
        List<Candidate> candidates =
                accepting.stream().map(engine -> toCandidate(engine, requirements)).toList();
        Map<CacheScope, Integer> mostReported =
                mostReportedTokens(candidates, requirements.prompt());
        return candidates.stream()
                .map(candidate -> evaluate(candidate, requirements, preferred, mostReported, now))
                .min(Comparator.comparingDouble(Choice::predictedMilliseconds));
    }

    /**
     * What is known of an engine before it is rated.
     *
     * @param scope of the prompt's parts at the engine's weights
     * @param reported shared tokens that the engine reported to hold
     */
    private record Candidate(
            RegisteredTarget engine, TargetState state, CacheScope scope, int reportedTokens) {}

    private Candidate toCandidate(RegisteredTarget engine, Requirements requirements) {
        TargetState state = states.getOrCreate(engine.incarnation());
        PartitionedPrompt prompt = requirements.prompt();
        CacheScope scope =
                CacheScope.of(
                        requirements.organisation(),
                        prompt.model(),
                        state.weightVersion().orElse(0));
        int reportedTokens =
                reportedParts.cachedPrefixTokens(
                        engine.incarnation().toString(), scope, prompt.sharedParts());
        return new Candidate(engine, state, scope, reportedTokens);
    }

    private static boolean serves(RegisteredTarget engine, String model) {
        return engine.weightVersions().isEmpty() || engine.weightVersions().containsKey(model);
    }

    /** Returns the engine with the highest rendezvous rank for a subject. */
    static Optional<String> preferredEngine(List<RegisteredTarget> engines, String affinityKey) {
        return engines.stream()
                .map(RegisteredTarget::id)
                .max(Comparator.comparingLong(id -> rendezvousScore(id, affinityKey)));
    }

    private static long rendezvousScore(String engine, String affinityKey) {
        long mixed = engine.hashCode() * 0x9E3779B97F4A7C15L ^ affinityKey.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    private Choice evaluate(
            Candidate candidate,
            Requirements requirements,
            Optional<String> preferred,
            Map<CacheScope, Integer> mostReported,
            Instant now) {
        RegisteredTarget engine = candidate.engine();
        TargetState state = candidate.state();
        PartitionedPrompt prompt = requirements.prompt();
        boolean isPreferred = preferred.filter(engine.id()::equals).isPresent();
        int cachedTokens =
                Math.max(candidate.reportedTokens(), expectedCachedTokens(candidate, prompt));
        int fetchedTokens =
                Math.max(0, mostReported.getOrDefault(candidate.scope(), 0) - cachedTokens);
        int uncachedSharedTokens =
                Math.max(0, prompt.sharedTokens() - cachedTokens - fetchedTokens);
        int prefillTokens = Math.max(0, prompt.promptTokens() - cachedTokens - fetchedTokens);
        double queueingMilliseconds =
                state.load().totalPrefillTokens(now) / costs.prefillTokensPerMillisecond();
        double predictedMilliseconds =
                queueingMilliseconds + prefillTokens / costs.prefillTokensPerMillisecond();
        predictedMilliseconds += costs.runningRequest() * state.load().totalRequests(now);
        predictedMilliseconds += costs.allRequestsFailing() * state.health().failureRate();
        predictedMilliseconds += outdatedPenalty(outdatedSince(engine, requirements), now);
        predictedMilliseconds += costs.fetchedToken() * fetchedTokens;
        if (!engine.dataCentre().equals(dataCentre)) {
            predictedMilliseconds += costs.crossDataCentre();
        }
        if (!isPreferred) {
            predictedMilliseconds += costs.nonPreferredToken() * uncachedSharedTokens;
        }
        return new Choice(
                engine,
                prefillTokens,
                predictedMilliseconds,
                Duration.ofMillis(Math.round(queueingMilliseconds)));
    }

    private int expectedCachedTokens(Candidate candidate, PartitionedPrompt prompt) {
        return expectedParts.cachedPrefixTokens(
                candidate.engine().incarnation().toString(),
                candidate.scope(),
                prompt.sharedParts());
    }

    /** Returns the most shared tokens that an engine or the store reported, by scope. */
    private Map<CacheScope, Integer> mostReportedTokens(
            List<Candidate> candidates, PartitionedPrompt prompt) {
        Map<CacheScope, Integer> most = new HashMap<>();
        candidates.forEach(
                candidate -> most.merge(candidate.scope(), candidate.reportedTokens(), Math::max));
        most.replaceAll(
                (scope, tokens) ->
                        cacheStore.holdsSharedParts(scope, prompt)
                                ? prompt.sharedTokens()
                                : tokens);
        return most;
    }

    private Optional<Instant> outdatedSince(RegisteredTarget engine, Requirements requirements) {
        OptionalInt version = states.getOrCreate(engine.incarnation()).weightVersion();
        return version.isPresent()
                ? requirements.outdatedSince().of(version.getAsInt())
                : Optional.empty();
    }

    /** A request may wait at the engine, so that the bound ends some time before the users'. */
    private boolean isOutdatedTooLong(
            RegisteredTarget engine, Requirements requirements, Instant now) {
        return outdatedSince(engine, requirements)
                .filter(
                        since ->
                                now.isAfter(
                                        since.plus(longestOutdated).minus(MAXIMUM_QUEUEING_TIME)))
                .isPresent();
    }

    private double outdatedPenalty(Optional<Instant> since, Instant now) {
        if (since.isEmpty()) {
            return 0;
        }
        boolean withinGracePeriod = now.isBefore(since.get().plus(OUTDATED_GRACE_PERIOD));
        return withinGracePeriod ? costs.newlyOutdatedWeights() : costs.outdatedWeights();
    }
}
