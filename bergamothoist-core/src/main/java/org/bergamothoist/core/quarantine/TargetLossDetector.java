package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.time.Scheduler;

/**
 * Finds out whether a target whose connections broke has ended. Confined to the control thread.
 *
 * <p>Its process has ended if its address refuses connections, or if another process is registered
 * in its place that started when the connections broke, whichever of the two is noticed first. A
 * reset connection, a truncated answer and a cut or frozen link are no such evidence, and the end
 * of a process whose registration said that it would leave is planned.
 *
 * <p>An answer that ends with its connection is whole if the process that wrote it lived on, or if
 * it had said that it would leave and broke nothing else off.
 */
public final class TargetLossDetector {

    /**
     * Time between a broken connection and the probe of its target, in which an ending process
     * closes its other sockets.
     */
    public static final Duration PROBE_DELAY = Duration.ofMillis(20);

    /**
     * Difference of clocks and time of a start up to which a process counts as the successor of one
     * that ended when connections broke.
     */
    static final Duration SUCCESSOR_TOLERANCE = Duration.ofSeconds(10);

    /** Time for which ends, starts and unconfirmed suspicions are kept. */
    private static final Duration RETENTION = SUCCESSOR_TOLERANCE;

    /** Maximum number of checks that did not explain why connections broke, and of starts. */
    private static final int MAXIMUM_KEPT = 1_000;

    private final ConnectionProbe probe;
    private final LivenessChecker liveness;
    private final Predicate<TargetIncarnation> registered;
    private final LossListener listener;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<TargetIncarnation, Check> checks = new HashMap<>();
    private final Map<TargetIncarnation, Instant> ended = new HashMap<>();
    private final List<Unexplained> unexplained = new ArrayList<>();
    private final Map<RegisteredTarget, Instant> started = new LinkedHashMap<>();

    /** Runs whose registration said that they leave, with the last time at which it did. */
    private final Map<TargetIncarnation, Instant> leaving = new HashMap<>();

    /** Targets whose end is not counted, with the last time at which they broke an answer off. */
    private final Map<TargetIncarnation, Instant> brokenUncounted = new HashMap<>();

    /** Result of an attempt to open a connection. */
    public enum ProbeResult {
        /** The address accepts connections. */
        ACCEPTED,
        /** No process listens at the address. */
        REFUSED,
        /** The address does not answer in time, or no connection could be tried. */
        NO_ANSWER
    }

    /** What is known of a target after the check of its connection. */
    public enum Finding {
        /** Its process has ended unplanned; the loss was reported. */
        LOST,
        /** Its process has ended as announced, and broke nothing else off. */
        LEFT,
        /** Its process lived on after the connection had ended. */
        ALIVE,
        /** It may have ended, as planned or not, or cannot be reached. */
        UNKNOWN;

        /** Returns whether an answer that ended with its connection is whole. */
        public boolean showsWholeAnswer() {
            return this == LEFT || this == ALIVE;
        }
    }

    /** Opens a connection to an address to find out whether a process listens there. */
    @FunctionalInterface
    public interface ConnectionProbe {

        /** Probes an address, {@code host:port}, and passes the result on. */
        void probe(String address, Consumer<ProbeResult> receiver);
    }

    /** Receives the targets that have ended. */
    @FunctionalInterface
    public interface LossListener {

        /**
         * Handles the unplanned end of a target.
         *
         * @param running contents that it was running
         */
        void onTargetLost(TargetLoss loss, Map<Fingerprint, LostRun> running);
    }

    /** Contents whose connections broke at a target that was not found to have ended. */
    private record Unexplained(
            RegisteredTarget target, Map<Fingerprint, LostRun> running, Instant brokenAt) {

        private boolean isExplainedBy(RegisteredTarget other) {
            boolean samePlace =
                    other.id().equals(target.id()) || other.address().equals(target.address());
            Instant startedAt = other.incarnation().startedAt();
            return samePlace
                    && startedAt.isAfter(target.incarnation().startedAt())
                    && startedAt.isAfter(brokenAt.minus(SUCCESSOR_TOLERANCE))
                    && startedAt.isBefore(brokenAt.plus(SUCCESSOR_TOLERANCE));
        }
    }

    /**
     * Creates a detector.
     *
     * @param registered whether a run of a target is registered
     */
    public TargetLossDetector(
            ConnectionProbe probe,
            LivenessChecker liveness,
            Predicate<TargetIncarnation> registered,
            LossListener listener,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.probe = probe;
        this.liveness = liveness;
        this.registered = registered;
        this.listener = listener;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Handles a connection that its target closed or reset before the answer was complete.
     *
     * @param onChecked called once it is known, or cannot be found out, whether the target ended
     */
    public void onConnectionBroken(
            RegisteredTarget target, BrokenRequest request, Consumer<Finding> onChecked) {
        check(target, request, true, onChecked);
    }

    /**
     * Handles an answer whose end only the end of the connection shows. The answer of a process
     * that ends within it looks the same.
     *
     * @param onChecked called once it is known, or cannot be found out, whether the target ended
     */
    public void onAnswerEndedByClose(
            RegisteredTarget target, BrokenRequest request, Consumer<Finding> onChecked) {
        check(target, request, false, onChecked);
    }

    private void check(
            RegisteredTarget target,
            BrokenRequest request,
            boolean broken,
            Consumer<Finding> onChecked) {
        Instant now = clock.instant();
        Map<Fingerprint, LostRun> running = runs(request, now);
        TargetIncarnation incarnation = target.incarnation();
        if (ended.containsKey(incarnation)) {
            report(incarnation, running);
            onChecked.accept(Finding.LOST);
            return;
        }
        boolean left = leaving.containsKey(incarnation);
        Optional<RegisteredTarget> successor =
                left ? Optional.empty() : successor(new Unexplained(target, running, now));
        if (successor.isPresent()) {
            onSucceeded(target, successor.get(), running);
            onChecked.accept(Finding.LOST);
            return;
        }
        boolean counted = !left && registered.test(incarnation);
        if (!counted && broken) {
            brokenUncounted.put(incarnation, now);
            logResult(target, left ? "leaving" : "no longer registered", "not counted");
            onChecked.accept(Finding.UNKNOWN);
            return;
        }
        Check check = checks.get(incarnation);
        if (check == null) {
            check = new Check(target, now, counted);
            checks.put(incarnation, check);
            scheduler.schedule(PROBE_DELAY, check::start);
        }
        check.add(running, broken);
        check.onChecked.add(onChecked);
    }

    private static Map<Fingerprint, LostRun> runs(BrokenRequest request, Instant brokenAt) {
        Instant sentAt = brokenAt.minus(request.runTime());
        Map<Fingerprint, LostRun> runs = new LinkedHashMap<>();
        for (Fingerprint key : request.keys().all()) {
            String part = request.keys().partName(key).map(" part="::concat).orElse("");
            runs.put(key, new LostRun(request.origin() + part, sentAt, brokenAt));
        }
        return runs;
    }

    /** Adds runs; of several runs with the same key, the one that began first counts. */
    private static void addRuns(
            Map<Fingerprint, LostRun> runs, Map<Fingerprint, LostRun> additional) {
        additional.forEach(
                (key, run) ->
                        runs.merge(
                                key,
                                run,
                                (known, other) ->
                                        known.sentAt().isAfter(other.sentAt()) ? other : known));
    }

    /** Handles the registration of a process that was not known before. */
    public void onTargetStarted(RegisteredTarget target) {
        if (started.size() < MAXIMUM_KEPT) {
            started.put(target, clock.instant());
        }
        List<Unexplained> explained =
                unexplained.stream()
                        .filter(one -> !leaving.containsKey(one.target().incarnation()))
                        .filter(one -> one.isExplainedBy(target))
                        .toList();
        unexplained.removeAll(explained);
        explained.forEach(one -> onSucceeded(one.target(), target, one.running()));
    }

    /** Handles a registration that says that the target leaves, whose end is planned therefore. */
    public void onTargetLeaving(TargetIncarnation target) {
        leaving.put(target, clock.instant());
    }

    private Optional<RegisteredTarget> successor(Unexplained broken) {
        return started.keySet().stream().filter(broken::isExplainedBy).findFirst();
    }

    private void onSucceeded(
            RegisteredTarget target,
            RegisteredTarget successor,
            Map<Fingerprint, LostRun> running) {
        logResult(target, "succeeded by " + successor.incarnation(), "lost");
        onLost(target.incarnation(), running);
    }

    private void onLost(TargetIncarnation incarnation, Map<Fingerprint, LostRun> running) {
        ended.put(incarnation, clock.instant());
        report(incarnation, running);
    }

    /** Forgets ends, starts and suspicions that were not confirmed in time. */
    public void removeExpired() {
        Instant now = clock.instant();
        Instant oldest = now.minus(RETENTION);
        leaving.replaceAll((target, at) -> registered.test(target) ? now : at);
        leaving.values().removeIf(at -> at.isBefore(oldest));
        started.values().removeIf(at -> at.isBefore(oldest));
        brokenUncounted.values().removeIf(at -> at.isBefore(oldest));
        ended.values().removeIf(at -> at.isBefore(oldest));
        unexplained.removeIf(one -> one.brokenAt().isBefore(oldest));
    }

    private void report(TargetIncarnation incarnation, Map<Fingerprint, LostRun> running) {
        String startedAt = String.valueOf(incarnation.startedAt().toEpochMilli());
        listener.onTargetLost(new TargetLoss(incarnation.id(), startedAt), running);
    }

    private void logResult(RegisteredTarget target, String evidence, String outcome) {
        log.write(
                DecisionKind.TARGET_LOSS_CHECKED,
                target.id(),
                () -> "address=" + target.address() + " " + evidence,
                outcome);
    }

    /** The check of one target, begun when the first of its connections broke. */
    private final class Check {

        private final RegisteredTarget target;
        private final Instant begunAt;

        /** Whether the end of the target is a loss unless it turns out to be planned. */
        private final boolean counted;

        private final Map<Fingerprint, LostRun> running = new LinkedHashMap<>();

        /** Those of the running contents whose answer was not complete. */
        private final Map<Fingerprint, LostRun> broken = new LinkedHashMap<>();

        private final List<Consumer<Finding>> onChecked = new ArrayList<>();

        /** The check of the process, if an answer ended with its connection. */
        private Optional<LivenessChecker.Check> process = Optional.empty();

        private Check(RegisteredTarget target, Instant begunAt, boolean counted) {
            this.target = target;
            this.begunAt = begunAt;
            this.counted = counted;
        }

        private void add(Map<Fingerprint, LostRun> runs, boolean brokenOff) {
            addRuns(running, runs);
            if (brokenOff) {
                addRuns(broken, runs);
            } else if (process.isEmpty()) {
                process = Optional.of(liveness.begin(target));
            }
        }

        private void start() {
            process.ifPresentOrElse(
                    check -> check.complete(this::onProcessChecked),
                    () -> probePort(LivenessChecker.Result.UNKNOWN));
        }

        private void onProcessChecked(LivenessChecker.Result result) {
            if (result == LivenessChecker.Result.ALIVE || isPlanned()) {
                complete(result, Optional.empty());
            } else {
                probePort(result);
            }
        }

        private void probePort(LivenessChecker.Result result) {
            probe.probe(target.address(), port -> complete(result, Optional.of(port)));
        }

        private boolean isPlanned() {
            return !counted || leaving.containsKey(target.incarnation());
        }

        private void complete(LivenessChecker.Result result, Optional<ProbeResult> port) {
            checks.remove(target.incarnation());
            TargetIncarnation incarnation = target.incarnation();
            boolean brokeOthersOff = hasBrokenOthersOff();
            if (result == LivenessChecker.Result.ENDED) {
                addRuns(broken, running);
            }
            Unexplained suspicion = new Unexplained(target, broken, begunAt);
            boolean countable = !isPlanned() && result != LivenessChecker.Result.ALIVE;
            boolean refused = port.equals(Optional.of(ProbeResult.REFUSED));
            boolean lost = countable && (refused || successor(suspicion).isPresent());
            Finding finding = lost ? Finding.LOST : findingWithoutLoss(result, brokeOthersOff);
            logResult(
                    target,
                    port.map(probed -> "connection " + probed + " ").orElse("")
                            + "process "
                            + result
                            + " running="
                            + running.size(),
                    lost ? "lost" : countable ? "unconfirmed" : "not counted");
            if (lost) {
                onLost(incarnation, running);
            } else if (countable && !broken.isEmpty() && unexplained.size() < MAXIMUM_KEPT) {
                unexplained.add(suspicion);
            }
            onChecked.forEach(receiver -> receiver.accept(finding));
        }

        private Finding findingWithoutLoss(LivenessChecker.Result result, boolean brokeOthersOff) {
            if (result == LivenessChecker.Result.ALIVE) {
                return Finding.ALIVE;
            }
            boolean left =
                    result == LivenessChecker.Result.ENDED
                            && leaving.containsKey(target.incarnation())
                            && !brokeOthersOff;
            return left ? Finding.LEFT : Finding.UNKNOWN;
        }

        /** Returns whether the target broke answers off as it closed the connection. */
        private boolean hasBrokenOthersOff() {
            Instant brokenAt = brokenUncounted.getOrDefault(target.incarnation(), Instant.MIN);
            return !broken.isEmpty() || !brokenAt.isBefore(begunAt.minus(PROBE_DELAY));
        }
    }
}
