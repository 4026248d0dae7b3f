package org.bergamothoist.core.fleet;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Decides when requests leave the data centre and how many, from the loads of the targets that all
 * daemons report. Confined to the control thread.
 *
 * <p>While the local targets of a service have room, or nothing is known of its requests, leaving
 * costs a constant, or the measured latency if that is higher. When they are full, it costs latency
 * and bytes as long as this daemon has sent less away than its share of what levels the waiting
 * times, and the local waiting time in addition otherwise.
 */
public final class CrossingRule implements DataCentreCrossing {

    /** Time within which every daemon that takes callers knows the others' loads. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(400);

    /** Time for which loads are not added up again; short against the interval of reports. */
    private static final Duration ASSESSMENT_LIFETIME = Duration.ofMillis(5);

    /**
     * Mean requests before an engine's prefill from which its prefill counts as full: the one that
     * is computed, and one that waits.
     */
    private static final double PREFILLS_OF_FULL_ENGINE = 2;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final Settings settings;
    private final TargetRegistry targets;
    private final TargetStateTable states;
    private final ToDoubleFunction<RegisteredTarget> prefillTokensPerMillisecond;
    private final InstantSource clock;
    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final ConnectTimes connectTimes = new ConnectTimes();
    private final Map<String, ServiceState> services = new HashMap<>();

    /**
     * Settings of the rule.
     *
     * @param dataCentre data centre of this daemon
     * @param standardMilliseconds cost of leaving while nothing is known
     * @param millisecondsPerMegabyte waiting time that sending a megabyte to another data centre
     *     has to save
     */
    public record Settings(
            String dataCentre, double standardMilliseconds, double millisecondsPerMegabyte) {}

    /**
     * Creates a rule that knows no loads.
     *
     * @param prefillTokensPerMillisecond prompt tokens that an engine computes per millisecond
     */
    public CrossingRule(
            Settings settings,
            TargetRegistry targets,
            TargetStateTable states,
            ToDoubleFunction<RegisteredTarget> prefillTokensPerMillisecond,
            InstantSource clock,
            MetricRegistry metrics,
            DecisionLog log) {
        this.settings = settings;
        this.targets = targets;
        this.states = states;
        this.prefillTokensPerMillisecond = prefillTokensPerMillisecond;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /** Work that this daemon sent to a data centre, in milliseconds of one target. */
    private record SentWork(Instant at, String dataCentre, double milliseconds) {}

    /**
     * What a request costs that leaves for a data centre.
     *
     * @param priceMilliseconds latency and bytes
     * @param heldBackMilliseconds waiting time that a request has to save in addition; 0 while this
     *     daemon may send more
     */
    private record Assessment(double priceMilliseconds, double heldBackMilliseconds) {

        private double costMilliseconds() {
            return priceMilliseconds + heldBackMilliseconds;
        }
    }

    /** State of a service; assessments are empty while the constants apply. */
    private static final class ServiceState {

        private final ServiceProfile profile = new ServiceProfile();
        private final Deque<SentWork> sentWork = new ArrayDeque<>();
        private final Set<String> leaving = new HashSet<>();

        /** Full data centres, and until when they count as full if they have room from now on. */
        private final Map<String, Instant> fullUntil = new HashMap<>();

        private final Map<String, Assessment> assessments = new HashMap<>();
        private Instant assessedAt = Instant.MIN;

        private void updateFull(
                String dataCentre, DataCentreLoads.Load load, boolean known, Instant now) {
            boolean before = fullUntil.containsKey(dataCentre);
            if (known && (load.isFull() || before && !load.hasRoom())) {
                fullUntil.put(dataCentre, now.plus(REPORT_DELAY));
            } else if (!known || before && !now.isBefore(fullUntil.get(dataCentre))) {
                fullUntil.remove(dataCentre);
            }
        }

        private boolean isFull(String dataCentre) {
            return fullUntil.containsKey(dataCentre);
        }

        private double sentMilliseconds(Instant since) {
            sentWork.removeIf(work -> work.at().isBefore(since));
            return sentWork.stream().mapToDouble(SentWork::milliseconds).sum();
        }

        private double sentMilliseconds(String dataCentre) {
            return sentWork.stream()
                    .filter(work -> work.dataCentre().equals(dataCentre))
                    .mapToDouble(SentWork::milliseconds)
                    .sum();
        }
    }

    /** Records the time in which a connection to a target was established. */
    public void recordConnectTime(String targetId, Duration time) {
        targets.find(targetId).ifPresent(target -> connectTimes.add(target.dataCentre(), time));
    }

    /**
     * Records that a request was sent, after it was added to the load of its target.
     *
     * @param prefillTokens prompt tokens that the target has to prefill; 0 for plain services
     */
    public Dispatch onSent(RegisteredTarget target, long bytes, long prefillTokens) {
        ServiceState service = state(target.service());
        double prefill = prefillTokens / prefillTokensPerMillisecond.applyAsDouble(target);
        service.profile.recordPrefill(prefill);
        double slotShare = service.profile.slotMilliseconds().orElse(0) / slots(target);
        service.sentWork.add(
                new SentWork(clock.instant(), target.dataCentre(), Math.max(prefill, slotShare)));
        service.assessedAt = Instant.MIN;
        if (isRemote(target)) {
            metrics.counter("crossing-requests." + target.dataCentre()).inc();
        }
        Dispatch dispatch = new Dispatch(target, prefill);
        dispatch.count(bytes);
        return dispatch;
    }

    /** A request that was sent to a target. */
    public final class Dispatch {

        private final RegisteredTarget target;
        private final double prefillMilliseconds;
        private final Instant sentAt = clock.instant();
        private final int requestsAtTarget;
        private long bytes;

        private Dispatch(RegisteredTarget target, double prefillMilliseconds) {
            this.target = target;
            this.prefillMilliseconds = prefillMilliseconds;
            this.requestsAtTarget =
                    states.getOrCreate(target.incarnation()).load().totalRequests(sentAt);
        }

        /** Counts bytes of the request or of its answer. */
        public void count(long more) {
            bytes += more;
            if (isRemote(target)) {
                metrics.counter("crossing-bytes." + target.dataCentre()).inc(more);
            }
        }

        /** Learns from the whole answer, whose first byte is unknown if it has no body. */
        public void onCompleted(Optional<Instant> firstByteAt) {
            ServiceProfile profile = state(target.service()).profile;
            profile.recordBytes(bytes);
            Instant now = clock.instant();
            if (!target.weightVersions().isEmpty()) {
                firstByteAt.ifPresent(
                        first ->
                                profile.recordSlotTime(
                                        Duration.between(first, now)
                                                .plusMillis(Math.round(prefillMilliseconds))));
                return;
            }
            // Of those in the queue before it, a slot's share delays the request by a slot time.
            double waiting = Math.max(0, requestsAtTarget - slots(target)) / slots(target);
            Duration inTarget = Duration.between(sentAt, now);
            profile.recordSlotTime(
                    Duration.ofNanos(Math.round(inTarget.toNanos() / (1 + waiting))));
        }
    }

    @Override
    public double costMilliseconds(String service, RegisteredTarget target) {
        if (!isRemote(target)) {
            return 0;
        }
        return assessment(service, target.dataCentre())
                .map(Assessment::costMilliseconds)
                .orElseGet(
                        () ->
                                Math.max(
                                        settings.standardMilliseconds(),
                                        latencyMilliseconds(target.dataCentre())));
    }

    @Override
    public double costInLoadedTargets(String service, RegisteredTarget target) {
        if (!isRemote(target)) {
            return 0;
        }
        OptionalDouble slotTime = state(service).profile.slotMilliseconds();
        Optional<Assessment> assessment = assessment(service, target.dataCentre());
        boolean slowLink =
                latencyMilliseconds(target.dataCentre()) > settings.standardMilliseconds();
        if (slotTime.isEmpty() || assessment.isEmpty() && !slowLink) {
            return STANDARD_COST_IN_LOADED_TARGETS;
        }
        double cost = costMilliseconds(service, target) / slotTime.getAsDouble();
        return assessment.isEmpty() ? Math.max(STANDARD_COST_IN_LOADED_TARGETS, cost) : cost;
    }

    private boolean isRemote(RegisteredTarget target) {
        return isRemote(target.dataCentre());
    }

    private boolean isRemote(String dataCentre) {
        return !dataCentre.equals(settings.dataCentre());
    }

    private static double slots(RegisteredTarget target) {
        return Math.max(1, target.slots());
    }

    private double latencyMilliseconds(String remote) {
        return connectTimes
                .excessMilliseconds(settings.dataCentre(), remote)
                .orElse(settings.standardMilliseconds());
    }

    private ServiceState state(String service) {
        return services.computeIfAbsent(service, name -> new ServiceState());
    }

    private Optional<Assessment> assessment(String service, String remote) {
        ServiceState state = state(service);
        Instant now = clock.instant();
        if (!now.isBefore(state.assessedAt.plus(ASSESSMENT_LIFETIME))) {
            assess(service, state, now);
            state.assessedAt = now;
        }
        return Optional.ofNullable(state.assessments.get(remote));
    }

    private void assess(String service, ServiceState state, Instant now) {
        state.assessments.clear();
        DataCentreLoads loads = loads(service, state.profile, now);
        DataCentreLoads.Load local = loads.of(settings.dataCentre());
        boolean known = local.targets() > 0 && state.profile.slotMilliseconds().isPresent();
        loads.dataCentres().forEach(name -> state.updateFull(name, loads.of(name), known, now));
        double arrived = state.sentMilliseconds(now.minus(REPORT_DELAY));
        double capacity = local.ownShare() * local.targets() * REPORT_DELAY.toMillis();
        Map<String, Double> movable = new TreeMap<>();
        for (String remote : loads.dataCentres()) {
            if (isRemote(remote)) {
                updateLeaving(service, state, loads, remote);
                movable.put(remote, loads.movableMilliseconds(settings.dataCentre(), remote));
            }
        }
        double movableToAll = movable.values().stream().mapToDouble(Double::doubleValue).sum();
        // The daemon's part of what levels the loads now, and of what arrives above the capacity.
        double levelling = local.ownShare();
        double lasting = movableToAll <= 0 ? 0 : Math.max(0, arrived - capacity) / movableToAll;
        for (String remote : movable.keySet()) {
            double allowed = levelling + (takesLasting(state, loads, remote) ? lasting : 0);
            boolean mayLeave =
                    state.leaving.contains(remote)
                            && state.sentMilliseconds(remote) < allowed * movable.get(remote);
            assessment(state, loads, remote, mayLeave)
                    .ifPresent(assessment -> state.assessments.put(remote, assessment));
        }
    }

    private Optional<Assessment> assessment(
            ServiceState state, DataCentreLoads loads, String remote, boolean mayLeave) {
        boolean remoteFull = state.isFull(remote);
        if (!remoteFull && !state.isFull(settings.dataCentre())) {
            return Optional.empty();
        }
        double price = priceMilliseconds(state.profile, remote);
        if (mayLeave) {
            // What the local targets can't serve has to leave in any case: a request that stays
            // delays all that follow it.
            return Optional.of(
                    new Assessment(
                            !takesLasting(state, loads, remote)
                                    ? price
                                    : Math.min(price, settings.standardMilliseconds()),
                            0));
        }
        double wait =
                Math.max(
                        loads.of(settings.dataCentre()).waitMilliseconds(),
                        loads.of(remote).waitMilliseconds());
        return Optional.of(new Assessment(price, wait));
    }

    private double priceMilliseconds(ServiceProfile profile, String remote) {
        return latencyMilliseconds(remote)
                + settings.millisecondsPerMegabyte() * profile.bytes() / BYTES_PER_MEGABYTE;
    }

    /** Returns whether a data centre can take more than what levels the known loads. */
    private boolean takesLasting(ServiceState state, DataCentreLoads loads, String remote) {
        return !loads.of(remote).isFull() || paysCertainly(state, loads, remote);
    }

    /** Returns whether leaving saves more than its price by what the loads may be wrong. */
    private boolean paysCertainly(ServiceState state, DataCentreLoads loads, String remote) {
        return loads.savedMilliseconds(settings.dataCentre(), remote)
                > priceMilliseconds(state.profile, remote)
                        + deviation(loads.of(settings.dataCentre()))
                        + deviation(loads.of(remote));
    }

    /**
     * Starts leaving if it saves more than its price by what the known loads may be wrong, and ends
     * it when the local targets have room, or when it saves less than its price and the remote
     * targets have none.
     */
    private void updateLeaving(
            String service, ServiceState state, DataCentreLoads loads, String remote) {
        DataCentreLoads.Load local = loads.of(settings.dataCentre());
        double price = priceMilliseconds(state.profile, remote);
        double saved = loads.savedMilliseconds(settings.dataCentre(), remote);
        boolean before = state.leaving.contains(remote);
        boolean pays =
                before
                        ? saved > price || !loads.of(remote).isFull()
                        : paysCertainly(state, loads, remote);
        boolean leaving = state.isFull(settings.dataCentre()) && !local.hasRoom() && pays;
        if (leaving == before) {
            return;
        }
        if (leaving) {
            state.leaving.add(remote);
        } else {
            state.leaving.remove(remote);
        }
        log.write(
                DecisionKind.DATA_CENTRE_CROSSING,
                service,
                () ->
                        "saved="
                                + Math.round(saved)
                                + " price="
                                + Math.round(price)
                                + " occupancy="
                                + local.occupancy()
                                + " remote-occupancy="
                                + loads.of(remote).occupancy(),
                (leaving ? "leaving starts for " : "leaving ends for ") + remote);
    }

    /**
     * Returns the standard deviation of a mean waiting time that is as old as a report: that of the
     * work of the requests which arrive randomly in that time.
     */
    private static double deviation(DataCentreLoads.Load load) {
        if (load.requests() == 0) {
            return 0;
        }
        double workOfRequest =
                (load.levelMilliseconds() + load.capacityMilliseconds())
                        * load.targets()
                        / load.requests();
        return Math.sqrt(REPORT_DELAY.toMillis() * workOfRequest / load.targets());
    }

    private DataCentreLoads loads(String service, ServiceProfile profile, Instant now) {
        DataCentreLoads loads = new DataCentreLoads();
        double slotMilliseconds = profile.slotMilliseconds().orElse(0);
        double prefillCapacity = PREFILLS_OF_FULL_ENGINE * profile.prefillMilliseconds();
        for (RegisteredTarget target : targets.accepting(service)) {
            TargetState targetState = states.getOrCreate(target.incarnation());
            if (!targetState.isAccepting(now)) {
                continue;
            }
            OutstandingWork work = targetState.load();
            int requests = work.totalRequests(now);
            double slotShare = slotMilliseconds / slots(target);
            double prefill =
                    work.totalPrefillTokens(now)
                            / prefillTokensPerMillisecond.applyAsDouble(target);
            double slotLevel = requests * slotShare - slotMilliseconds;
            double prefillLevel =
                    prefillCapacity > 0 ? prefill - prefillCapacity : Double.NEGATIVE_INFINITY;
            double capacity = prefillLevel > slotLevel ? prefillCapacity : slotMilliseconds;
            double level = Math.max(slotLevel, prefillLevel);
            loads.add(
                    target.dataCentre(),
                    new DataCentreLoads.Load(
                            1,
                            capacity > 0 ? 1 + level / capacity : 0,
                            level,
                            Math.max(prefill, Math.max(0, slotLevel + slotShare)),
                            capacity,
                            requests,
                            work.ownRequests()));
        }
        return loads;
    }
}
