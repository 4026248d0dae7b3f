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
    private static final Duration ACCEPTED_DELAY = Duration.ofMillis(1_500);

    /** Longest time that a request is expected to wait at an engine before it begins. */
    private static final Duration QUEUEING_TIME = Duration.ofMillis(2_500);

    private final String dataCentre;
    private final TargetStateTable states;
    private final HeldParts heldParts;
    private final HeldParts expectedParts;
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
            HeldParts heldParts,
            HeldParts expectedParts,
            CacheStoreView cacheStore,
            EngineCosts costs,
            Duration longestOutdated,
            InstantSource clock) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.heldParts = heldParts;
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
            RegisteredTarget target, int prefillTokens, double predicted, Duration queueing) {}

    /** Tells since when a version of a model's weights is outdated, or nothing if it is not. */
    @FunctionalInterface
    public interface OutdatedSince {

        /** Returns when the first newer version was named, or empty. */
        Optional<Instant> of(int version);
    }

    /** What a request brings to its placement. */
    public record Demand(
            NamedPrompt prompt, Organisation organisation, OutdatedSince outdatedSince) {}

    /**
     * Returns the best engine, or empty if none takes requests.
     *
     * @param tried identifiers of engines that are not to be chosen again
     */
    public Optional<Choice> choose(
            List<RegisteredTarget> engines, Demand demand, Set<String> tried) {
        Instant now = clock.instant();
        List<RegisteredTarget> untried =
                engines.stream()
                        .filter(engine -> !tried.contains(engine.id()))
                        .filter(engine -> serves(engine, demand.prompt().model()))
                        .filter(engine -> !isTooOld(engine, demand, now))
                        .toList();
        List<RegisteredTarget> candidates = states.acceptingOrAll(untried, now);
        Optional<String> home =
                demand.prompt().subject().flatMap(part -> home(candidates, part.id()));
        List<Candidate> viewed = candidates.stream().map(engine -> view(engine, demand)).toList();
        Map<CacheScope, Integer> elsewhere = heldElsewhere(viewed, demand.prompt());
        return viewed.stream()
                .map(candidate -> rate(candidate, demand, home, elsewhere, now))
                .min(Comparator.comparingDouble(Choice::predicted));
    }

    /**
     * What is known of an engine before it is rated.
     *
     * @param scope of the prompt's parts at the engine's weights
     * @param reported shared tokens that the engine reported to hold
     */
    private record Candidate(
            RegisteredTarget engine, TargetState state, CacheScope scope, int reported) {}

    private Candidate view(RegisteredTarget engine, Demand demand) {
        TargetState state = states.getOrCreate(engine.incarnation());
        NamedPrompt prompt = demand.prompt();
        CacheScope scope =
                CacheScope.of(
                        demand.organisation(), prompt.model(), state.weightVersion().orElse(0));
        int reported =
                heldParts.leadingTokens(
                        engine.incarnation().toString(), scope, prompt.sharedParts());
        return new Candidate(engine, state, scope, reported);
    }

    private static boolean serves(RegisteredTarget engine, String model) {
        return engine.weightVersions().isEmpty() || engine.weightVersions().containsKey(model);
    }

    /** Returns the engine with the highest rendezvous rank for a subject. */
    static Optional<String> home(List<RegisteredTarget> engines, String subject) {
        return engines.stream()
                .map(RegisteredTarget::id)
                .max(Comparator.comparingLong(id -> rank(id, subject)));
    }

    private static long rank(String engine, String subject) {
        long mixed = engine.hashCode() * 0x9E3779B97F4A7C15L ^ subject.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    private Choice rate(
            Candidate candidate,
            Demand demand,
            Optional<String> home,
            Map<CacheScope, Integer> elsewhere,
            Instant now) {
        RegisteredTarget engine = candidate.engine();
        TargetState state = candidate.state();
        NamedPrompt prompt = demand.prompt();
        boolean isHome = home.filter(engine.id()::equals).isPresent();
        int cached = Math.max(candidate.reported(), expectedTokens(candidate, prompt));
        int fetched = Math.max(0, elsewhere.getOrDefault(candidate.scope(), 0) - cached);
        int unread = Math.max(0, prompt.sharedTokens() - cached - fetched);
        int read = Math.max(0, prompt.promptTokens() - cached - fetched);
        double wait = state.load().totalPrefillTokens(now) / costs.prefillTokensPerMillisecond();
        double predicted = wait + read / costs.prefillTokensPerMillisecond();
        predicted += costs.running() * state.load().totalRequests(now);
        predicted += costs.failure() * state.health().failureRate();
        predicted += outdatedPenalty(outdatedSince(engine, demand), now);
        predicted += costs.fetchedToken() * fetched;
        if (!engine.dataCentre().equals(dataCentre)) {
            predicted += costs.otherDataCentre();
        }
        if (!isHome) {
            predicted += costs.foreignToken() * unread;
        }
        return new Choice(engine, read, predicted, Duration.ofMillis(Math.round(wait)));
    }

    private int expectedTokens(Candidate candidate, NamedPrompt prompt) {
        return expectedParts.leadingTokens(
                candidate.engine().incarnation().toString(),
                candidate.scope(),
                prompt.sharedParts());
    }

    /** Returns the most shared tokens that an engine or the store reported, by scope. */
    private Map<CacheScope, Integer> heldElsewhere(List<Candidate> candidates, NamedPrompt prompt) {
        Map<CacheScope, Integer> held = new HashMap<>();
        candidates.forEach(
                candidate -> held.merge(candidate.scope(), candidate.reported(), Math::max));
        held.replaceAll(
                (scope, tokens) ->
                        cacheStore.holds(scope, prompt) ? prompt.sharedTokens() : tokens);
        return held;
    }

    private Optional<Instant> outdatedSince(RegisteredTarget engine, Demand demand) {
        OptionalInt version = states.getOrCreate(engine.incarnation()).weightVersion();
        return version.isPresent()
                ? demand.outdatedSince().of(version.getAsInt())
                : Optional.empty();
    }

    /** A request may wait at the engine, so that the bound ends some time before the users'. */
    private boolean isTooOld(RegisteredTarget engine, Demand demand, Instant now) {
        return outdatedSince(engine, demand)
                .filter(since -> now.isAfter(since.plus(longestOutdated).minus(QUEUEING_TIME)))
                .isPresent();
    }

    private double outdatedPenalty(Optional<Instant> since, Instant now) {
        if (since.isEmpty()) {
            return 0;
        }
        boolean accepted = now.isBefore(since.get().plus(ACCEPTED_DELAY));
        return accepted ? costs.newlyOutdated() : costs.outdatedWeights();
    }
}
