package org.bergamothoist.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.placement.FirstBlockHashPolicy;
import org.bergamothoist.core.placement.LeastLoadedPolicy;
import org.bergamothoist.core.placement.PlacementPolicy;
import org.bergamothoist.core.placement.PlacementSettings;
import org.bergamothoist.core.placement.PrefixAwarePolicy;
import org.bergamothoist.core.placement.RandomPolicy;

/** One policy in one scenario. */
final class Run {

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CRASH_DURATION = Duration.ofSeconds(6);
    private static final double FIRST_CRASH = 0.25;
    private static final double SECOND_CRASH = 0.5;
    private static final double RESTART = 0.4;
    private static final double SHIFT = 0.3;

    /** A caller notices a lost daemon and sends its request again within this time. */
    private static final int RESEND_MILLISECONDS = 200;

    private final RunSettings settings;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final Map<TargetId, FakeEngine> engines = new LinkedHashMap<>();
    private final RunRecorder recorder = new RunRecorder(RunSettings.SETTLED, RunSettings.END);
    private final List<FakeDaemon> daemons = new ArrayList<>();
    private final FakeDaemon.RunContext context;

    Run(RunSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        for (int number = 0; number < settings.deployment().engines(); number++) {
            FakeEngine engine =
                    new FakeEngine(
                            number, settings.deployment().engine(), settings, time, random.split());
            engines.put(engine.id(), engine);
        }
        this.context =
                new FakeDaemon.RunContext(
                        settings.deployment(), time, engines, recorder, Run::checkInvariant);
        for (int number = 0; number < Deployment.DAEMONS; number++) {
            daemons.add(daemon(number, 1));
            int daemon = number;
            time.schedule(randomPart(HEARTBEAT_INTERVAL), () -> heartbeat(daemon));
        }
    }

    private static void checkInvariant(
            Guarantee guarantee, boolean holds, Supplier<String> detail) {
        if (!holds) {
            throw new IllegalStateException(guarantee + ": " + detail.get());
        }
    }

    private FakeDaemon daemon(int number, int incarnation) {
        RandomGenerator own = random.split();
        DaemonId id = new DaemonId("daemon-" + number, incarnation);
        FakeDaemon daemon = new FakeDaemon(id, context, policy(own), own);
        daemon.announceTo(daemons);
        return daemon;
    }

    private PlacementPolicy policy(RandomGenerator own) {
        return switch (settings.policy()) {
            case RANDOM -> new RandomPolicy(own);
            case LEAST_LOADED -> new LeastLoadedPolicy();
            case FIRST_BLOCK_HASH -> new FirstBlockHashPolicy();
            case BERGAMOTHOIST ->
                    new PrefixAwarePolicy(
                            PlacementSettings.standard(settings.deployment().weights()), own);
            case ORACLE -> new OraclePolicy(engines.values(), settings.deployment().weights());
        };
    }

    private Duration randomPart(Duration duration) {
        return Duration.ofNanos((long) (random.nextDouble() * duration.toNanos()));
    }

    private void heartbeat(int number) {
        daemons.get(number).sendHeartbeat(daemons);
        time.schedule(HEARTBEAT_INTERVAL, () -> heartbeat(number));
    }

    RunResult execute() {
        boolean shift = settings.scenario() == Scenario.HOT_PREFIX_SHIFT;
        Duration hotFrom = shift ? RunSettings.measuredAt(SHIFT) : RunSettings.END;
        Workload workload = new Workload(settings.deployment().workload(), settings.seed());
        List<FakeRequest> requests =
                workload.generate(settings.requestsPerSecond(), RunSettings.END, hotFrom);
        for (FakeRequest request : requests) {
            at(Duration.ofMillis(request.arrivalMilliseconds()), () -> arrive(request));
        }
        engines.values().forEach(engine -> engine.speed(RunSettings.WARM_UP_SPEED));
        at(RunSettings.WARM_UP, () -> engines.values().forEach(engine -> engine.speed(1)));
        scheduleFaults();
        time.runUntil(RunSettings.DRAINED);
        return recorder.result();
    }

    private void at(Duration moment, Runnable action) {
        time.schedule(moment.minusMillis(time.millis()), action);
    }

    private void arrive(FakeRequest request) {
        recorder.offered(request);
        daemons.get(request.daemon()).submit(request);
    }

    private void scheduleFaults() {
        if (settings.scenario() == Scenario.ENGINE_CRASH) {
            List<FakeEngine> all = List.copyOf(engines.values());
            crash(all.get(0), RunSettings.measuredAt(FIRST_CRASH));
            crash(all.get(1), RunSettings.measuredAt(SECOND_CRASH));
        }
        if (settings.scenario() == Scenario.DAEMON_RESTART_HERD) {
            at(RunSettings.measuredAt(RESTART), this::restartDaemons);
        }
    }

    private void crash(FakeEngine engine, Duration moment) {
        at(moment, engine::crash);
        at(moment.plus(CRASH_DURATION), engine::restart);
    }

    private void restartDaemons() {
        for (int number = 0; number < daemons.size(); number++) {
            List<FakeRequest> unsent = daemons.get(number).stop();
            daemons.set(number, daemon(number, 2));
            for (FakeRequest request : unsent) {
                int index = number;
                time.schedule(
                        Duration.ofMillis(random.nextInt(RESEND_MILLISECONDS)),
                        () -> daemons.get(index).submit(request));
            }
        }
    }
}
