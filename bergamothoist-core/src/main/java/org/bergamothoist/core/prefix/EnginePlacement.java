package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bergamothoist.core.fleet.DataCentreCrossing;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.core.route.CacheOwner;
import org.bergamothoist.core.time.RecentDurations;

/**
 * Chooses the engine for a request: the one with the lowest predicted time to the first token, with
 * penalties.
 *
 * <p>Rendezvous hashing of the prompt's last shared part gives the preferred engine. All daemons
 * compute the same one without exchanging messages, so that requests with the same parts find them
 * cached there. Load and known cache contents override the preference where another engine is
 * predicted to be faster.
 */
public final class EnginePlacement {

    /**
     * Time after operators request newer weights for which answers from the older ones keep their
     * full value to the users.
     */
    private static final Duration OUTDATED_GRACE_PERIOD = Duration.ofMillis(1_500);

    /** Number of requests of a service from which the time in an engine's slot is learned. */
    private static final int SLOT_TIME_WINDOW = 64;

    /** Assumed time of a request in an engine's slot, until the first ones have ended. */
    private static final Duration SLOT_TIME_WITHOUT_ESTIMATE = Duration.ofMillis(500);

    /**
     * Smallest share of an engine's memory that is kept free for requests that other daemons have
     * sent since their last reports.
     */
    private static final double SMALLEST_RESERVE = 0.1;

    /**
     * Requests of the same size for which memory is kept free: when most engines are full, several
     * daemons choose the same one until they have each other's reports.
     */
    private static final int RESERVED_REQUESTS = 2;

    /**
     * Largest part of an engine's memory that is kept free for one such request, so that the
     * largest prompts are not refused by engines in which they fit.
     */
    private static final double LARGEST_RESERVE_OF_REQUEST = 0.125;

    /** Wait, as a multiple of the latency objective, at which requests of any kind are refused. */
    private static final double REFUSED_WAIT_IN_OBJECTIVES = 2;

    /** Longest time that a request is expected to wait in the queue of an engine. */
    private static final Duration MAXIMUM_QUEUEING_TIME = Duration.ofMillis(2_500);

    /**
     * Wait at an engine, as a multiple of the latency objective, above which the separation does
     * not apply: just below that at which requests are refused.
     */
    private static final double LONGEST_WAIT_IN_OBJECTIVES = 0.5;

    /** Engines with enough memory come first, then those that are expected to have it soonest. */
    private static final Comparator<Choice> BY_MEMORY =
            Comparator.comparingLong(
                    choice -> choice.fitsMemory() ? -1 : choice.queueingDelay().toNanos());

    /** Order of choices without separation. */
    private static final Comparator<Choice> WITHOUT_SEPARATION =
            BY_MEMORY.thenComparingDouble(Choice::predictedMilliseconds);

    /** Order of choices with separation. */
    private static final Comparator<Choice> WITH_SEPARATION =
            BY_MEMORY.thenComparingDouble(
                    choice -> choice.predictedMilliseconds() + choice.separationMilliseconds());

    private final String dataCentre;
    private final TargetStateTable states;
    private final CachedPartIndex reportedParts;
    private final CachedPartIndex expectedParts;
    private final CacheStoreView cacheStore;
    private final EngineCosts costs;
    private final DataCentreCrossing crossing;
    private final EngineSpeeds speeds;
    private final StreamSeparation separation;
    private final Duration longestOutdated;
    private final InstantSource clock;
    private final Map<String, RecentDurations> slotTimesByService = new HashMap<>();

    /**
     * Creates a placement for one daemon.
     *
     * @param dataCentre data centre of this daemon
     * @param reportedParts prompt parts that engines report as cached
     * @param expectedParts prompt parts that engines are expected to have cached after the requests
     *     that this daemon dispatched
     * @param cacheStore known contents of the KV cache store
     * @param crossing cost of engines in other data centres
     * @param speeds learned speeds of engines
     * @param separation which engines long prompts and urgent streams prefer
     * @param longestOutdated time after which no request may start on outdated weights
     */
    public EnginePlacement(
            String dataCentre,
            TargetStateTable states,
            CachedPartIndex reportedParts,
            CachedPartIndex expectedParts,
            CacheStoreView cacheStore,
            EngineCosts costs,
            DataCentreCrossing crossing,
            EngineSpeeds speeds,
            StreamSeparation separation,
            Duration longestOutdated,
            InstantSource clock) {
        this.dataCentre = dataCentre;
        this.states = states;
        this.reportedParts = reportedParts;
        this.expectedParts = expectedParts;
        this.cacheStore = cacheStore;
        this.costs = costs;
        this.crossing = crossing;
        this.speeds = speeds;
        this.separation = separation;
        this.longestOutdated = longestOutdated;
        this.clock = clock;
    }

    /**
     * A chosen engine.
     *
     * @param prefillTokens estimated prompt tokens that the engine has to compute
     * @param predictedMilliseconds predicted time to the first token, in milliseconds, with
     *     penalties
     * @param separationMilliseconds cost by which long prompts and urgent streams are kept apart;
     *     not part of the predicted time
     * @param fitsMemory whether the engine's memory has room for the request
     * @param queueingDelay predicted time until the engine starts the request, by its learned rate
     *     or the assumed one, whichever is higher
     * @param outdatedSince when newer weights than the engine's were requested, if they were
     */
    public record Choice(
            RegisteredTarget target,
            int prefillTokens,
            double predictedMilliseconds,
            double separationMilliseconds,
            boolean fitsMemory,
            Duration queueingDelay,
            Optional<Instant> outdatedSince) {}

    /** Looks up since when a version of a model's weights has been outdated. */
    @FunctionalInterface
    public interface OutdatedSince {

        /** Returns when operators requested the first newer version, or empty if there is none. */
        Optional<Instant> of(int version);
    }

    /**
     * The properties of a request that its placement depends on.
     *
     * @param owner owner of the cached parts that the request may use
     * @param transferMillisecondsPerToken time that an engine needs to fetch a cached token
     * @param terms what the request's route and service demand of the engine
     */
    public record Requirements(
            PartitionedPrompt prompt,
            CacheOwner owner,
            OutdatedSince outdatedSince,
            double transferMillisecondsPerToken,
            RequestTerms terms) {

        /** Creates the properties of a request whose route demands nothing. */
        public Requirements(
                PartitionedPrompt prompt,
                CacheOwner owner,
                OutdatedSince outdatedSince,
                double transferMillisecondsPerToken) {
            this(prompt, owner, outdatedSince, transferMillisecondsPerToken, RequestTerms.NONE);
        }

        /**
         * Returns the tokens that the request occupies in an engine's memory by itself. Shared
         * parts are left out: requests that run at the same engine have one copy of them, and an
         * engine that is taken for full would read them again elsewhere.
         */
        long memoryTokens() {
            return Math.max(0L, prompt.promptTokens() - prompt.sharedTokens())
                    + prompt.maximumOutputTokens();
        }
    }

    /**
     * Records how long a completed request occupied a slot of an engine, without its time in the
     * queue.
     */
    public void recordSlotTime(String service, Duration slotTime) {
        slotTimesByService
                .computeIfAbsent(service, name -> new RecentDurations(SLOT_TIME_WINDOW))
                .add(slotTime);
    }

    /**
     * Returns the engine with the lowest predicted time, or empty if no engine can take the
     * request.
     *
     * @param excluded identifiers of engines that must not be chosen, for example because an
     *     attempt there failed
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
        Division division = division(accepting, requirements, now);
        Optional<String> preferred =
                requirements
                        .prompt()
                        .affinityPart()
                        .flatMap(part -> preferredEngine(division.preferable(), part.id()));
        List<Candidate> candidates =
                accepting.stream().map(engine -> toCandidate(engine, requirements)).toList();
        Map<CacheScope, Integer> mostReported =
                mostReportedTokens(candidates, requirements.prompt());
        List<Choice> choices =
                candidates.stream()
                        .map(
                                candidate ->
                                        evaluate(
                                                candidate,
                                                requirements,
                                                preferred,
                                                mostReported,
                                                division,
                                                now))
                        .filter(choice -> startsBeforeLimit(choice, now))
                        .toList();
        if (division.separated().isEmpty()) {
            return choices.stream().min(WITHOUT_SEPARATION);
        }
        return choices.stream()
                .filter(choice -> !isTooBusy(choice, requirements))
                .min(WITH_SEPARATION)
                .or(() -> choices.stream().min(WITHOUT_SEPARATION));
    }

    /**
     * Returns whether an engine is chosen only without regard to the separation, so that this is no
     * reason to refuse a request.
     */
    private static boolean isTooBusy(Choice choice, Requirements requirements) {
        double objective = requirements.terms().latencyObjective().toMillis();
        return choice.queueingDelay().toMillis() > LONGEST_WAIT_IN_OBJECTIVES * objective;
    }

    /**
     * What the separation of long prompts and urgent streams means to a request.
     *
     * @param separated empty if the separation does not concern the request
     * @param preferable the engines that may be preferred for the shared parts
     */
    private record Division(
            StreamSeparation.Role role,
            Optional<SeparatedEngines> separated,
            List<RegisteredTarget> preferable) {}

    private Division division(
            List<RegisteredTarget> accepting, Requirements requirements, Instant now) {
        StreamSeparation.Role role =
                accepting.isEmpty()
                        ? StreamSeparation.Role.NONE
                        : separation.role(
                                accepting.get(0).service(),
                                requirements.prompt(),
                                requirements.terms());
        Optional<SeparatedEngines> separated =
                role == StreamSeparation.Role.NONE
                        ? Optional.empty()
                        : separation.engines(accepting, requirements.terms(), now);
        return new Division(
                role,
                separated,
                separated.map(engines -> engines.preferable(accepting, role)).orElse(accepting));
    }

    /**
     * An engine with the known state that its evaluation needs.
     *
     * @param scope isolation scope of the prompt's parts for the engine's current weights
     * @param reportedTokens shared prompt tokens that the engine reported as cached
     */
    private record Candidate(
            RegisteredTarget engine, TargetState state, CacheScope scope, int reportedTokens) {}

    private Candidate toCandidate(RegisteredTarget engine, Requirements requirements) {
        TargetState state = states.getOrCreate(engine.incarnation());
        PartitionedPrompt prompt = requirements.prompt();
        CacheScope scope =
                CacheScope.of(
                        requirements.owner(), prompt.model(), state.weightVersion().orElse(0));
        int reportedTokens =
                reportedParts.cachedPrefixTokens(
                        engine.incarnation().toString(), scope, prompt.sharedParts());
        return new Candidate(engine, state, scope, reportedTokens);
    }

    private static boolean serves(RegisteredTarget engine, String model) {
        return engine.weightVersions().isEmpty() || engine.weightVersions().containsKey(model);
    }

    /** Returns the engine with the highest rendezvous score for the affinity key. */
    static Optional<String> preferredEngine(List<RegisteredTarget> engines, String affinityKey) {
        return engines.stream()
                .map(RegisteredTarget::id)
                .max(Comparator.comparingLong(id -> RendezvousHash.score(id, affinityKey)));
    }

    private Choice evaluate(
            Candidate candidate,
            Requirements requirements,
            Optional<String> preferred,
            Map<CacheScope, Integer> mostReported,
            Division division,
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
        OutstandingWork.Totals load = state.load().totals(now);
        double tokensPerMillisecond = speeds.prefillTokensPerMillisecond(engine, now);
        double memoryExcess = memoryExcess(load, requirements);
        double slotOrMemoryMilliseconds =
                Math.max(
                        slotWaitMilliseconds(engine, load),
                        memoryWaitMilliseconds(engine, load, memoryExcess, requirements));
        double queueingMilliseconds =
                Math.max(load.prefillTokens() / tokensPerMillisecond, slotOrMemoryMilliseconds);
        // Learned rates choose the engine; a late answer is worth more to callers than a refusal.
        double admissionMilliseconds =
                Math.max(
                        load.prefillTokens()
                                / Math.max(
                                        tokensPerMillisecond, costs.prefillTokensPerMillisecond()),
                        slotOrMemoryMilliseconds);
        double predictedMilliseconds = queueingMilliseconds + prefillTokens / tokensPerMillisecond;
        predictedMilliseconds += costs.runningRequest() * load.requests();
        predictedMilliseconds += costs.allRequestsFailing() * state.health().failureRate();
        Optional<Instant> outdatedSince = outdatedSince(engine, requirements);
        predictedMilliseconds += outdatedPenalty(outdatedSince, now);
        predictedMilliseconds +=
                (costs.fetchedToken() + requirements.transferMillisecondsPerToken())
                        * fetchedTokens;
        if (!engine.dataCentre().equals(dataCentre)) {
            predictedMilliseconds += crossing.costMilliseconds(engine.service(), engine);
        }
        if (!isPreferred) {
            predictedMilliseconds += costs.nonPreferredToken() * uncachedSharedTokens;
        }
        return new Choice(
                engine,
                prefillTokens,
                predictedMilliseconds,
                division.separated()
                        .map(
                                engines ->
                                        engines.costMilliseconds(
                                                division.role(),
                                                engine,
                                                load,
                                                prefillTokens,
                                                tokensPerMillisecond,
                                                requirements.terms()))
                        .orElse(0.0),
                memoryExcess <= 0,
                Duration.ofMillis(Math.round(admissionMilliseconds)),
                outdatedSince);
    }

    /**
     * Returns the predicted time until the engine has a free slot for one more request. While it is
     * full, a slot becomes free each time one of its requests ends.
     */
    private double slotWaitMilliseconds(RegisteredTarget engine, OutstandingWork.Totals load) {
        int requestsBefore = load.requests() - engine.slots() + 1;
        if (engine.slots() <= 0 || requestsBefore <= 0) {
            return 0;
        }
        return (double) requestsBefore * slotTime(engine).toMillis() / engine.slots();
    }

    private Duration slotTime(RegisteredTarget engine) {
        return speeds.slotTime(engine)
                .or(
                        () ->
                                Optional.ofNullable(slotTimesByService.get(engine.service()))
                                        .flatMap(RecentDurations::median))
                .orElse(SLOT_TIME_WITHOUT_ESTIMATE);
    }

    /** Returns by how many tokens the request is too large for the engine's memory now. */
    private static double memoryExcess(OutstandingWork.Totals load, Requirements requirements) {
        OptionalLong limit = requirements.terms().engineMemoryTokens();
        if (limit.isEmpty() || load.requests() == 0) {
            return 0;
        }
        double reserve =
                Math.max(
                        SMALLEST_RESERVE * limit.getAsLong(),
                        RESERVED_REQUESTS * reservedTokens(requirements, limit.getAsLong()));
        return load.memoryTokens() + requirements.memoryTokens() + reserve - limit.getAsLong();
    }

    /** Returns the memory that is kept free for another request of the same size. */
    private static double reservedTokens(Requirements requirements, long limit) {
        return Math.min(requirements.memoryTokens(), LARGEST_RESERVE_OF_REQUEST * limit);
    }

    /**
     * Returns the predicted time until enough memory is free; after a slot time all of it is. If
     * not even another request of the same size would fit beside this one, the wait is one at which
     * requests are refused: an engine whose memory is exceeded may end with all its requests.
     */
    private double memoryWaitMilliseconds(
            RegisteredTarget engine,
            OutstandingWork.Totals load,
            double memoryExcess,
            Requirements requirements) {
        if (memoryExcess <= 0) {
            return 0;
        }
        double wait =
                slotTime(engine).toMillis()
                        * Math.min(1, memoryExcess / Math.max(1, load.memoryTokens()));
        long limit = requirements.terms().engineMemoryTokens().orElse(Long.MAX_VALUE);
        boolean full =
                load.memoryTokens()
                                + requirements.memoryTokens()
                                + reservedTokens(requirements, limit)
                        > limit;
        double refusedWait =
                REFUSED_WAIT_IN_OBJECTIVES * requirements.terms().latencyObjective().toMillis();
        return full ? refusedWait + wait : wait;
    }

    private int expectedCachedTokens(Candidate candidate, PartitionedPrompt prompt) {
        return expectedParts.cachedPrefixTokens(
                candidate.engine().incarnation().toString(),
                candidate.scope(),
                prompt.sharedParts());
    }

    /**
     * Returns, by scope, the largest number of shared tokens that any engine or the store reported
     * as cached.
     */
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

    /**
     * Returns since when the engine's weights have been outdated. An engine of unknown version
     * counts as having the registered one: versions of an incarnation increase, so that it has no
     * older one.
     */
    private Optional<Instant> outdatedSince(RegisteredTarget engine, Requirements requirements) {
        int version =
                states.getOrCreate(engine.incarnation())
                        .weightVersion()
                        .orElseGet(
                                () ->
                                        engine.weightVersions()
                                                .getOrDefault(requirements.prompt().model(), 0));
        return requirements.outdatedSince().of(version);
    }

    /**
     * Excludes the engine earlier than the limit by the time that a request may wait in its queue.
     */
    private boolean isOutdatedTooLong(
            RegisteredTarget engine, Requirements requirements, Instant now) {
        return outdatedSince(engine, requirements)
                .filter(
                        since ->
                                now.isAfter(
                                        since.plus(longestOutdated).minus(MAXIMUM_QUEUEING_TIME)))
                .isPresent();
    }

    /**
     * Returns whether the engine is predicted to start the request while its weights are allowed.
     */
    private boolean startsBeforeLimit(Choice choice, Instant now) {
        return choice.outdatedSince()
                .map(since -> since.plus(longestOutdated))
                .filter(limit -> now.plus(choice.queueingDelay()).isAfter(limit))
                .isEmpty();
    }

    private double outdatedPenalty(Optional<Instant> since, Instant now) {
        if (since.isEmpty()) {
            return 0;
        }
        boolean withinGracePeriod = now.isBefore(since.get().plus(OUTDATED_GRACE_PERIOD));
        return withinGracePeriod ? costs.newlyOutdatedWeights() : costs.outdatedWeights();
    }
}
