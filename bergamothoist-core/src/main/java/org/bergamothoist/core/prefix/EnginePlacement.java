package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.fleet.TargetStates;
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

    private final String dataCentre;
    private final TargetStates states;
    private final HeldParts heldParts;
    private final EngineCosts costs;
    private final InstantSource clock;

    /**
     * Creates a placement.
     *
     * @param dataCentre where this daemon is
     */
    public EnginePlacement(
            String dataCentre,
            TargetStates states,
            HeldParts heldParts,
            EngineCosts costs,
            InstantSource clock) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.heldParts = heldParts;
        this.costs = costs;
        this.clock = clock;
    }

    /**
     * A chosen engine.
     *
     * @param prefillTokens prompt tokens that it presumably has to read
     * @param predicted predicted time to the first token, in milliseconds
     */
    public record Choice(RegisteredTarget target, int prefillTokens, double predicted) {}

    /** What a request brings to its placement. */
    public record Demand(
            NamedPrompt prompt,
            Organisation organisation,
            OptionalInt newestVersion,
            Optional<Instant> namedAt) {}

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
                        .toList();
        List<RegisteredTarget> accepting =
                untried.stream()
                        .filter(engine -> states.of(engine.incarnation()).isAccepting(now))
                        .toList();
        List<RegisteredTarget> candidates = accepting.isEmpty() ? untried : accepting;
        Optional<String> home =
                demand.prompt().subject().flatMap(part -> home(candidates, part.id()));
        return candidates.stream()
                .map(engine -> rate(engine, demand, home, now))
                .min(Comparator.comparingDouble(Choice::predicted));
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
            RegisteredTarget engine, Demand demand, Optional<String> home, Instant now) {
        TargetState state = states.of(engine.incarnation());
        NamedPrompt prompt = demand.prompt();
        int cached = cachedTokens(engine, state, demand, home);
        int uncached = Math.max(0, prompt.promptTokens() - cached);
        double predicted =
                (state.load().totalPrefillTokens(now) + uncached)
                        / costs.prefillTokensPerMillisecond();
        predicted += costs.running() * state.load().totalRequests(now);
        predicted += costs.failure() * state.health().failureRate();
        if (isOutdated(state, demand.newestVersion())) {
            predicted += outdatedPenalty(demand, now);
        }
        if (!engine.dataCentre().equals(dataCentre)) {
            predicted += costs.otherDataCentre();
        }
        return new Choice(engine, uncached, predicted);
    }

    /** The home of a subject is taken to have read its shared parts for some other daemon. */
    private int cachedTokens(
            RegisteredTarget engine, TargetState state, Demand demand, Optional<String> home) {
        NamedPrompt prompt = demand.prompt();
        int version = state.weightVersion().orElse(0);
        CacheScope scope = CacheScope.of(demand.organisation(), prompt.model(), version);
        int known =
                heldParts.leadingTokens(
                        engine.incarnation().toString(), scope, prompt.sharedParts());
        boolean isHome = home.filter(engine.id()::equals).isPresent();
        return isHome ? Math.max(known, prompt.sharedTokens()) : known;
    }

    private double outdatedPenalty(Demand demand, Instant now) {
        boolean fresh =
                demand.namedAt()
                        .filter(at -> now.isBefore(at.plus(ACCEPTED_DELAY)))
                        .isPresent();
        return fresh ? costs.newlyOutdated() : costs.outdatedWeights();
    }

    private static boolean isOutdated(TargetState state, OptionalInt newest) {
        return newest.isPresent()
                && state.weightVersion().isPresent()
                && state.weightVersion().getAsInt() < newest.getAsInt();
    }
}
