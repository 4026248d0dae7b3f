package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetStateTable;

/**
 * Keeps long prompts and urgent streams on different engines of a service while inter-event gaps
 * are measured to be late because of prefill. Confined to the control thread.
 *
 * <p>Engines run chunks of prefill between decode steps, so that each stream at an engine waits for
 * the long prompts there. Long prompts prefer the first engines of a rendezvous order of the
 * service, as many as their work needs; all daemons know that order without exchanging messages.
 */
public final class StreamSeparation {

    /**
     * Share of late gaps during prefill from which engines are separated: with it, a tenth of the
     * streams of thirty events are late.
     */
    private static final double LATE_SHARE = 0.003;

    /** Late gaps are due to prefill if they are so many times as frequent during it. */
    private static final double CAUSED_BY_PREFILL = 2;

    /** Gaps and late gaps from which their share is known well enough. */
    private static final int FEWEST_GAPS = 64;

    private static final int FEWEST_LATE_GAPS = 3;

    /**
     * Time without a late gap during prefill after which the separation ends. It prevents late gaps
     * itself, so that a short time would switch it on and off.
     */
    private static final Duration RETENTION = Duration.ofSeconds(30);

    /** Rates up to this multiple of those with late gaps are taken as too slow as well. */
    private static final double RATE_MARGIN = 1.15;

    /** Share of the late gaps that were measured at slower engines than the affected rate. */
    private static final double RATE_QUANTILE = 0.9;

    private static final double RATE_STEP = 0.02;

    /** Gaps over which one loses most of its weight in a mean. */
    private static final int GAP_WINDOW = 512;

    /** Engines for long prompts by their work: with two, each is busy for half of the time. */
    private static final double HEADROOM = 2;

    /** Share of the memory of the engines for long prompts that is planned to be used. */
    private static final double PLANNED_MEMORY = 0.5;

    /** Largest share of the engines that are kept for streams, however many there are. */
    private static final double MOST_FOR_STREAMS = 0.5;

    /** Share of an engine's slots that urgent streams are planned to use. */
    private static final double PLANNED_SLOTS = 0.6;

    /** Interval at which the engines for long prompts are determined: about one report's. */
    private static final Duration REFRESH = Duration.ofMillis(250);

    /** Time between two reductions of the engines for long prompts, so that caches stay used. */
    private static final Duration REDUCTION_PAUSE = Duration.ofSeconds(1);

    private final TargetStateTable states;
    private final EngineSpeeds speeds;
    private final DecisionLog log;
    private final boolean enabled;
    private final Map<String, ServiceState> services = new HashMap<>();

    /** Creates a separation that is inactive until late gaps are measured. */
    public StreamSeparation(TargetStateTable states, EngineSpeeds speeds, DecisionLog log) {
        this(states, speeds, log, true);
    }

    /**
     * Creates a separation that is inactive until late gaps are measured.
     *
     * @param enabled whether it becomes active at all
     */
    public StreamSeparation(
            TargetStateTable states, EngineSpeeds speeds, DecisionLog log, boolean enabled) {
        this.states = states;
        this.speeds = speeds;
        this.log = log;
        this.enabled = enabled;
    }

    /** Returns whether the separation may become active. */
    public boolean isEnabled() {
        return enabled;
    }

    /** What the separation means to a request. */
    enum Role {
        URGENT_STREAM,
        LONG_PROMPT,
        NONE
    }

    private static final class ServiceState {

        private final LateShare duringPrefill = new LateShare();
        private final LateShare withoutPrefill = new LateShare();
        private final LongPromptDemand demand;
        private final RecentMean idleGap = new RecentMean(GAP_WINDOW);
        private final RecentMean urgentGap = new RecentMean(GAP_WINDOW);
        private double affectedRate;
        private Instant lastLateAt = Instant.EPOCH;
        private boolean active;
        private int wanted = 1;
        private Instant reducedAt = Instant.EPOCH;
        private Instant refreshedAt = Instant.EPOCH;
        private SeparatedEngines engines = new SeparatedEngines(Set.of(), Set.of());

        private ServiceState(Instant now) {
            demand = new LongPromptDemand(now);
        }
    }

    private ServiceState state(String service, Instant now) {
        return services.computeIfAbsent(service, name -> new ServiceState(now));
    }

    /**
     * Records the time between two events of a stream.
     *
     * @param terms those of the stream
     * @param prefilling whether the engine had outstanding prefill of other requests meanwhile
     */
    public void recordGap(
            RegisteredTarget engine,
            Duration gap,
            RequestTerms terms,
            boolean prefilling,
            Instant now) {
        ServiceState state = state(engine.service(), now);
        boolean late = gap.compareTo(terms.longestEventGap()) > 0;
        if (terms.urgentStream()) {
            state.urgentGap.add(gap.toMillis());
        }
        if (!prefilling) {
            state.idleGap.add(gap.toMillis());
            state.withoutPrefill.add(late);
            return;
        }
        state.duringPrefill.add(late);
        if (late) {
            state.lastLateAt = now;
            recordAffectedRate(state, speeds.lastingTokensPerMillisecond(engine, now));
        }
    }

    private static void recordAffectedRate(ServiceState state, double rate) {
        if (state.affectedRate == 0) {
            state.affectedRate = rate;
        } else if (rate > state.affectedRate) {
            state.affectedRate += RATE_QUANTILE * RATE_STEP * rate;
        } else {
            state.affectedRate -= (1 - RATE_QUANTILE) * RATE_STEP * rate;
        }
    }

    /** Returns whether a prompt fills whole decode steps of the engines, by its size alone. */
    public boolean isLongPrompt(String service, PartitionedPrompt prompt, RequestTerms terms) {
        double longestStep = terms.longestStepMilliseconds();
        return longestStep > 0
                && prompt.promptTokens() / speeds.prefillTokensPerMillisecond(service)
                        > longestStep;
    }

    Role role(String service, PartitionedPrompt prompt, RequestTerms terms) {
        if (terms.longestStepMilliseconds() <= 0) {
            return Role.NONE;
        }
        boolean longPrompt = isLongPrompt(service, prompt, terms);
        if (longPrompt == terms.urgentStream()) {
            return Role.NONE;
        }
        return longPrompt ? Role.LONG_PROMPT : Role.URGENT_STREAM;
    }

    /** Records that this daemon sends a long prompt to an engine. */
    public void onLongPromptDispatched(
            RegisteredTarget engine, int prefillTokens, long memoryTokens, Instant now) {
        double milliseconds = prefillTokens / speeds.lastingTokensPerMillisecond(engine, now);
        state(engine.service(), now).demand.onDispatched(milliseconds, memoryTokens, now);
    }

    /** Records the end of a request with a long prompt. */
    public void onLongPromptEnded(RegisteredTarget engine, long memoryTokens, Instant now) {
        state(engine.service(), now).demand.onEnded(memoryTokens);
    }

    /**
     * Returns which engines are for long prompts, or empty if the service's engines need no
     * separation.
     *
     * @param accepting engines of one service that accept requests
     */
    Optional<SeparatedEngines> engines(
            List<RegisteredTarget> accepting, RequestTerms terms, Instant now) {
        if (accepting.isEmpty()) {
            return Optional.empty();
        }
        ServiceState state = services.get(accepting.get(0).service());
        if (state == null) {
            return Optional.empty();
        }
        if (!now.isBefore(state.refreshedAt.plus(REFRESH))) {
            state.refreshedAt = now;
            refresh(accepting, terms, state, now);
        }
        return state.active ? Optional.of(state.engines) : Optional.empty();
    }

    private void refresh(
            List<RegisteredTarget> accepting, RequestTerms terms, ServiceState state, Instant now) {
        state.demand.fade(now);
        int urgentStreams = 0;
        for (RegisteredTarget engine : accepting) {
            OutstandingWork work = states.getOrCreate(engine.incarnation()).load();
            OutstandingWork.Totals totals = work.totals(now);
            state.demand.observe(work, totals);
            urgentStreams += totals.urgentStreams();
        }
        boolean before = state.active;
        state.active = isActive(state, now) && accepting.size() > 1;
        if (state.active) {
            int wanted = wantedEngines(accepting, terms, urgentStreams, state);
            boolean reducible = !now.isBefore(state.reducedAt.plus(REDUCTION_PAUSE));
            if (!before || wanted > state.wanted) {
                state.wanted = wanted;
            } else if (wanted < state.wanted && reducible) {
                state.wanted = Math.min(state.wanted - 1, accepting.size() - 1);
                state.reducedAt = now;
            }
            SeparatedEngines separated = separate(accepting, state, now);
            if (!before
                    || separated.forLongPrompts().size() != state.engines.forLongPrompts().size()) {
                write(accepting.get(0).service(), state, separated);
            }
            state.engines = separated;
        } else if (before) {
            write(accepting.get(0).service(), state, new SeparatedEngines(Set.of(), Set.of()));
        }
    }

    private boolean isActive(ServiceState state, Instant now) {
        if (!enabled) {
            return false;
        }
        boolean recent = now.isBefore(state.lastLateAt.plus(RETENTION));
        if (state.active) {
            return recent;
        }
        LateShare during = state.duringPrefill;
        return recent
                && during.gaps() >= FEWEST_GAPS
                && during.lateGaps() >= FEWEST_LATE_GAPS
                && during.share() >= LATE_SHARE
                && during.share() >= CAUSED_BY_PREFILL * state.withoutPrefill.share();
    }

    private static int wantedEngines(
            List<RegisteredTarget> accepting,
            RequestTerms terms,
            int urgentStreams,
            ServiceState state) {
        double byWork = HEADROOM * state.demand.busyEngines();
        double byMemory =
                terms.engineMemoryTokens().isEmpty()
                        ? 0
                        : state.demand.memoryTokens()
                                / (PLANNED_MEMORY * terms.engineMemoryTokens().getAsLong());
        double slots = Math.max(1, PLANNED_SLOTS * accepting.get(0).slots());
        // Late streams run for longer; they are counted as if they were on time.
        double slowed =
                state.idleGap.samples() == 0 || state.urgentGap.mean() <= state.idleGap.mean()
                        ? 1
                        : state.idleGap.mean() / state.urgentGap.mean();
        double needed =
                Math.min(urgentStreams * slowed / slots, MOST_FOR_STREAMS * accepting.size());
        int forStreams = Math.max(1, (int) Math.ceil(needed));
        int wanted = (int) Math.ceil(Math.max(byWork, byMemory)) + 1;
        return Math.max(1, Math.min(wanted, accepting.size() - forStreams));
    }

    /**
     * Determines the engines for long prompts. Engines that compute fast enough to keep gaps on
     * time come first and are all used, since streams need not avoid them.
     */
    private SeparatedEngines separate(
            List<RegisteredTarget> accepting, ServiceState state, Instant now) {
        Set<String> affected = new HashSet<>();
        for (RegisteredTarget engine : accepting) {
            if (speeds.lastingTokensPerMillisecond(engine, now)
                    <= RATE_MARGIN * state.affectedRate) {
                affected.add(engine.id());
            }
        }
        List<RegisteredTarget> order = new ArrayList<>(accepting);
        order.sort(
                Comparator.comparing((RegisteredTarget engine) -> affected.contains(engine.id()))
                        .thenComparing(
                                Comparator.comparingLong(
                                                (RegisteredTarget engine) ->
                                                        RendezvousHash.score(
                                                                engine.id(), engine.service()))
                                        .reversed()));
        int count = Math.max(state.wanted, accepting.size() - affected.size());
        Set<String> forLongPrompts = new HashSet<>();
        order.stream().limit(count).forEach(engine -> forLongPrompts.add(engine.id()));
        return new SeparatedEngines(forLongPrompts, affected);
    }

    private void write(String service, ServiceState state, SeparatedEngines separated) {
        log.write(
                DecisionKind.STREAMS_SEPARATED,
                service,
                () ->
                        String.format(
                                Locale.ROOT,
                                "late-in-prefill=%.4f late-otherwise=%.4f busy=%.1f"
                                        + " memory-tokens=%.0f affected-rate=%.1f affected=%d",
                                state.duringPrefill.share(),
                                state.withoutPrefill.share(),
                                state.demand.busyEngines(),
                                state.demand.memoryTokens(),
                                state.affectedRate,
                                separated.affected().size()),
                "engines for long prompts: " + separated.forLongPrompts().size());
    }

    /** Returns the number of engines for long prompts of a service, 0 without separation. */
    public int enginesForLongPrompts(String service) {
        ServiceState state = services.get(service);
        return state == null || !state.active ? 0 : state.engines.forLongPrompts().size();
    }
}
