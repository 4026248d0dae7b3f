package org.bergamothoist.cli.demo;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bergamothoist.cli.demo.DemonstrationResult.TimeToFirstToken;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.standin.EngineStandIn;
import org.bergamothoist.standin.PlatformStandIn;
import org.bergamothoist.standin.client.CallerSettings;
import org.bergamothoist.standin.client.CallerTransport;
import org.bergamothoist.standin.client.CompletionCaller;
import org.bergamothoist.standin.client.CompletionRequest;
import org.bergamothoist.standin.client.DemoWorkload;
import org.bergamothoist.standin.client.WorkloadResult;
import org.bergamothoist.standin.client.WorkloadSettings;

/**
 * Runs an example deployment under load in one process while engines, daemons and the log fail, and
 * checks every answer.
 */
public final class Demonstration {

    private static final int DAEMONS = 6;

    /** A rate that leaves room for failures within the limits of the example sheets. */
    private static final double REQUESTS_PER_SECOND = 30;

    private static final Duration CALLERS_PATIENCE = Duration.ofSeconds(20);
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final ExampleDeployment example;
    private final long seed;
    private final Duration duration;
    private final Consumer<String> progress;
    private final InstantSource clock = InstantSource.system();
    private final Offices offices;
    private final BrokenPromises broken = new BrokenPromises();
    private final List<CompletableFuture<?>> pending = new ArrayList<>();
    private PlatformStandIn platform;
    private LocalDeployment deployment;
    private DemoWorkload workload;
    private DaemonInstance killed;
    private CompletableFuture<Duration> restart = new CompletableFuture<>();
    private String refusedSheet = "";

    /** Something that happens during the workload, at a share of its duration. */
    private record Step(double at, Action action) {}

    @FunctionalInterface
    private interface Action {
        void run() throws Exception;
    }

    /**
     * Prepares a demonstration.
     *
     * @param duration time for which callers send requests
     * @param progress receives lines about what happens
     */
    public Demonstration(
            ExampleDeployment example, long seed, Duration duration, Consumer<String> progress) {
        this.example = example;
        this.seed = seed;
        this.duration = duration;
        this.progress = progress;
        this.offices = new Offices(example, clock);
    }

    /** Runs the demonstration, once. */
    public DemonstrationResult run() throws Exception {
        platform = PlatformStandIn.start(example.sizes(), example.platform(seed), clock);
        deployment = new LocalDeployment(platform, example);
        try (LocalDeployment closing = deployment;
                CallerTransport probes = new CallerTransport(clock, seed)) {
            startDaemons(closing);
            Duration inForce = offices.submitWholeSheet(daemon(0));
            say("sheet is in force on all daemons after " + inForce.toMillis() + " ms");
            workload =
                    new DemoWorkload(
                            platform, closing.callerAddresses(), workloadSettings(), clock);
            CompletableFuture<WorkloadResult> answers = workload.run();
            say("callers send " + REQUESTS_PER_SECOND + " requests a second");
            runSteps(steps(probes));
            say("waiting for the last answers");
            WorkloadResult result = answers.get(1, TimeUnit.MINUTES);
            for (CompletableFuture<?> rest : pending) {
                rest.get(1, TimeUnit.MINUTES);
            }
            return result(result, inForce);
        }
    }

    private void startDaemons(LocalDeployment target) throws Exception {
        say("starting " + DAEMONS + " daemons over " + platform.engines().size() + " engines");
        List<DaemonInstance> daemons = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            daemons.add(target.startDaemon(index));
            broken.watch(daemons.get(index));
        }
        for (DaemonInstance daemon : daemons) {
            daemon.ready().toCompletableFuture().get(START_LIMIT.toSeconds(), TimeUnit.SECONDS);
        }
    }

    private WorkloadSettings workloadSettings() {
        return WorkloadSettings.of(example.sheet(), duration)
                .with(REQUESTS_PER_SECOND, seed)
                .withAnswers(64, CALLERS_PATIENCE);
    }

    private List<Step> steps(CallerTransport probes) {
        EngineStandIn engine = platform.engines().get(0);
        return List.of(
                new Step(0.15, () -> crash(engine)),
                new Step(0.25, () -> restart(engine)),
                new Step(0.30, this::replaceDaemon),
                new Step(0.55, this::killDaemon),
                new Step(0.65, () -> restartDaemon(probes)),
                new Step(0.75, this::stopLog),
                new Step(0.83, this::restartLog),
                new Step(0.90, this::submitConflictingSheets));
    }

    private void runSteps(List<Step> steps) throws Exception {
        Instant begin = clock.instant();
        for (Step step : steps) {
            Duration at = Duration.ofMillis((long) (duration.toMillis() * step.at()));
            Duration rest = Duration.between(clock.instant(), begin.plus(at));
            Thread.sleep(Math.max(0, rest.toMillis()));
            step.action().run();
        }
    }

    private void crash(EngineStandIn engine) {
        say("engine " + engine.name() + " crashes");
        engine.crash();
    }

    private void restart(EngineStandIn engine) {
        say("engine " + engine.name() + " comes back empty");
        engine.restart();
    }

    private void replaceDaemon() {
        DaemonInstance leaving = daemon(0);
        say("planned stop of daemon " + name(leaving));
        pending.add(
                deployment
                        .stopDaemon(leaving)
                        .thenRun(
                                () -> {
                                    say("daemon " + name(leaving) + " has stopped");
                                    checkNothingCut(leaving);
                                }));
        DaemonInstance replacement = deployment.startDaemon(DAEMONS);
        broken.watch(replacement);
        say("daemon " + name(replacement) + " starts as replacement");
    }

    /** No daemon has been killed yet, so any stream that was resumed was cut by the stop. */
    private void checkNothingCut(DaemonInstance stopped) {
        if (killed == null && workload.resumes() > 0) {
            broken.add(
                    "GRACEFUL_STOP", name(stopped), workload.resumes() + " streams were resumed");
        }
    }

    private void killDaemon() {
        killed = daemon(1);
        say("daemon " + name(killed) + " is killed");
        deployment.killDaemon(killed);
    }

    private void restartDaemon(CallerTransport probes) throws Exception {
        Instant begin = clock.instant();
        DaemonInstance daemon = deployment.restartDaemon(killed);
        broken.watch(daemon);
        say("daemon " + name(daemon) + " is started again");
        CompletionCaller caller =
                CompletionCaller.pinned(
                        probes,
                        new CallerSettings(
                                example.sheet().get(0).organisation().value(),
                                List.of(daemon.settings().callerAddress().toString()),
                                "",
                                CALLERS_PATIENCE));
        restart =
                caller.complete(CompletionRequest.of(example.models().get(0), "Is it open?", 1))
                        .thenApply(answer -> Duration.between(begin, clock.instant()));
        pending.add(
                restart.thenAccept(
                        time ->
                                say(
                                        "daemon %s answers its first request after %d ms"
                                                .formatted(name(daemon), time.toMillis()))));
    }

    private void stopLog() {
        say("log is out of service");
        platform.log().down();
    }

    private void restartLog() {
        say("log is back");
        platform.log().recover();
    }

    private void submitConflictingSheets() throws Exception {
        say("both offices change the same organisation");
        Offices.Race race = offices.race(daemon(0), daemon(1));
        if (!race.first().verdict().accepted() || race.second().verdict().accepted()) {
            broken.add(
                    "SHEET_DURABILITY",
                    race.second().verdict().digest(),
                    "first sheet: %s, second sheet: %s"
                            .formatted(race.first().verdict(), race.second().verdict()));
        }
        refusedSheet = race.difference();
        if (race.second().reach() == SheetStatus.Reach.REFUSED) {
            say("sheet of the second office is refused; difference: " + refusedSheet.strip());
        }
    }

    private DaemonInstance daemon(int index) {
        return deployment.daemons().get(index);
    }

    private static String name(DaemonInstance daemon) {
        return daemon.settings().daemon();
    }

    private void say(String line) {
        progress.accept(line);
    }

    private DemonstrationResult result(WorkloadResult result, Duration inForce) throws Exception {
        WorkloadResult.Percentiles times = result.timeToFirstToken();
        return new DemonstrationResult(
                example.sizes().name(),
                seed,
                result.requests(),
                result.skipped(),
                result.mostConcurrent(),
                result.hitRate(),
                new TimeToFirstToken(
                        milliseconds(times.p50()),
                        milliseconds(times.p95()),
                        milliseconds(times.p99())),
                result.wastedTokens(),
                result.outcomes(),
                result.codes(),
                result.resumes(),
                inForce.toMillis(),
                restart.get().toMillis(),
                refusedSheet,
                broken.all(result.violations()));
    }

    private static double milliseconds(Duration time) {
        return time.toNanos() / NANOSECONDS_PER_MILLISECOND;
    }
}
