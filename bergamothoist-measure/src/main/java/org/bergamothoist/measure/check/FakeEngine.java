package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** One model engine: incarnations, prefix cache, streams, orders, crashes and freezes. */
final class FakeEngine {

    static final String CRASHING = "CRASH-";

    private static final int TOKENS_PER_SECOND = 4_000;
    private static final Duration PIECE_INTERVAL = Duration.ofMillis(35);
    private static final Duration CRASH_DELAY = Duration.ofMillis(15);
    private static final Duration LOAD = Duration.ofSeconds(2);
    private static final Duration CROWDED_LOAD = Duration.ofSeconds(5);
    private static final Duration LOAD_FIGURES_AGE = Duration.ofMillis(400);
    private static final int EVENTS_IN_A_PAGE = 64;
    private static final int CROWD = 2;

    private final String name;
    private final VirtualTimeScheduler time;
    private final RunLog log;
    private final EngineLoading loading;
    private final ContentLosses losses;
    private final boolean fencing;
    private final Map<String, EngineRun> runs = new LinkedHashMap<>();
    private final Map<ModelKey, LoadedModel.State> models =
            new TreeMap<>(java.util.Comparator.comparing(ModelKey::toString));
    private SimulatedProcess process;
    private EngineCacheBlocks cache;
    private int number;
    private int nextStream;
    private int loads;
    private long highestFencingNumber;
    private boolean leaving;
    private Instant busyUntil = Instant.MIN;
    private Instant figuresAt = Instant.MIN;
    private long queuedTokens;
    private int runningStreams;

    /** Is told of engines that were lost to a request's content. */
    @FunctionalInterface
    interface ContentLosses {

        /** Notes that an engine was lost while it ran the prompt. */
        void lost(FakeEngine engine, String prompt);
    }

    /** Counts engines that load weights, over all engines. */
    static final class EngineLoading {
        private final RunLog log;
        private final Set<String> engines = new HashSet<>();

        EngineLoading(RunLog log) {
            this.log = log;
        }

        private void begin(String engine) {
            engines.add(engine);
            log.count("weight-loads");
            log.check(
                    Property.LOADING_BOUND,
                    engines.size() <= CROWD,
                    "engines that load weights at once: " + engines);
        }

        private void end(String engine) {
            engines.remove(engine);
        }
    }

    FakeEngine(
            String name,
            VirtualTimeScheduler time,
            RunLog log,
            EngineLoading loading,
            ContentLosses losses,
            boolean fencing) {
        this.name = name;
        this.time = time;
        this.log = log;
        this.loading = loading;
        this.losses = losses;
        this.fencing = fencing;
    }

    /** Starts an incarnation with an empty cache. */
    void start(Set<ModelKey> ready) {
        process = new SimulatedProcess(name, time, log);
        models.clear();
        ready.forEach(key -> models.put(key, LoadedModel.State.READY));
        newIncarnation();
    }

    private void newIncarnation() {
        number++;
        cache = new EngineCacheBlocks(log);
        busyUntil = Instant.MIN;
        log.note(name + " runs incarnation " + number + " with " + models);
    }

    boolean alive() {
        return process != null && process.alive();
    }

    SimulatedProcess process() {
        return process;
    }

    EngineIncarnation incarnation() {
        return new EngineIncarnation(name + "." + number);
    }

    /** Returns the number of an incarnation; later ones have larger numbers. */
    static int number(EngineIncarnation incarnation) {
        String text = incarnation.value();
        int point = text.lastIndexOf('.');
        return point < 0 ? 0 : Integer.parseInt(text.substring(point + 1));
    }

    void markLeaving() {
        leaving = true;
    }

    boolean idle() {
        return runs.values().stream().allMatch(EngineRun::finished);
    }

    void crash(String cause) {
        if (!alive()) {
            return;
        }
        log.note(name + " crashes: " + cause);
        process.kill();
        loading.end(name);
        List<EngineRun> lost = new ArrayList<>(runs.values());
        runs.clear();
        lost.forEach(run -> run.fail(TargetFailure.Kind.BROKEN, "connection reset"));
    }

    /** Breaks the connections of all running streams; the engine goes on. */
    void resetConnections() {
        List.copyOf(runs.values())
                .forEach(run -> run.breakConnection(TargetFailure.Kind.BROKEN, "reset"));
    }

    /** Loses one of the newest cache events. */
    void loseEvent(int fromEnd) {
        cache.loseEvent(fromEnd);
    }

    /** Takes a completion. */
    void accept(EngineCall call, Connection<EngineListener> connection) {
        if (models.get(call.modelKey()) != LoadedModel.State.READY) {
            connection.end(
                    listener ->
                            listener.onFailed(
                                    new TargetFailure(
                                            TargetFailure.Kind.REFUSED, "model not loaded")));
            return;
        }
        String streamId = name + "-" + number + "-" + nextStream++;
        EngineRun run = new EngineRun(call, incarnation(), streamId, connection);
        runs.put(streamId, run);
        connection.accept(process, run);
        Instant now = time.instant();
        int cached = cache.cachedTokens(call);
        int uncached = Math.max(0, call.hashChain().promptTokens() - cached);
        Duration prefill = Duration.ofMillis(2 + 1000L * uncached / TOKENS_PER_SECOND);
        Instant begin = busyUntil.isAfter(now) ? busyUntil : now;
        busyUntil = begin.plus(prefill);
        String prompt = call.prompt().text();
        if (prompt.contains(CRASHING)) {
            Duration delay = Duration.between(now, begin).plus(CRASH_DELAY);
            process.schedule(delay, () -> crashByContent(run));
            return;
        }
        process.schedule(Duration.between(now, busyUntil), () -> prefilled(run, cached));
    }

    private void crashByContent(EngineRun run) {
        if (!run.stopped()) {
            log.count("engines-crashed-by-content");
            losses.lost(this, run.call().prompt().text());
            crash("content of " + run.call().requestId());
        }
    }

    private void prefilled(EngineRun run, int cached) {
        if (run.stopped()) {
            return;
        }
        if (run.incarnation().equals(incarnation())) {
            cache.store(run.call());
        }
        run.started(cached);
        generate(run);
    }

    private void generate(EngineRun run) {
        if (!run.finished()) {
            process.schedule(
                    PIECE_INTERVAL,
                    () -> {
                        if (!run.finished()) {
                            run.generate();
                            generate(run);
                        }
                    });
        }
    }

    void resume(EngineResume resume, Connection<EngineListener> connection) {
        EngineRun run = runs.get(resume.streamId());
        boolean known =
                run != null
                        && !run.stopped()
                        && run.incarnation().equals(resume.incarnation())
                        && run.call().organisation().equals(resume.organisation())
                        && resume.fromPiece() <= run.pieces();
        if (!known) {
            connection.end(
                    listener ->
                            listener.onFailed(
                                    new TargetFailure(
                                            TargetFailure.Kind.STREAM_UNKNOWN, "not known")));
            return;
        }
        log.count("streams-resumed-at-engine");
        run.reattach(connection, resume.fromPiece());
        connection.accept(process, run);
    }

    EngineReport report() {
        Instant now = time.instant();
        if (figuresAt.isBefore(now.minus(LOAD_FIGURES_AGE))) {
            figuresAt = now;
            runningStreams = (int) runs.values().stream().filter(run -> !run.finished()).count();
            Duration busy =
                    busyUntil.isAfter(now) ? Duration.between(now, busyUntil) : Duration.ZERO;
            queuedTokens = busy.toMillis() * TOKENS_PER_SECOND / 1000;
        }
        List<LoadedModel> loaded = new ArrayList<>();
        models.forEach((key, state) -> loaded.add(new LoadedModel(key, state)));
        return new EngineReport(
                incarnation(),
                loaded,
                queuedTokens,
                runningStreams,
                figuresAt,
                cache.sequence(),
                leaving,
                fencing);
    }

    CacheEventPage events(long after) {
        return new CacheEventPage(incarnation(), cache.eventsAfter(after, EVENTS_IN_A_PAGE));
    }

    CacheSnapshot snapshot() {
        return new CacheSnapshot(incarnation(), cache.sequence(), cache.hashes());
    }

    /** Takes an order. */
    void order(TargetOrder order) {
        if (fencing && order.fencingNumber() < highestFencingNumber) {
            throw new PlatformException("the fencing number is old");
        }
        if (order.deadline().isBefore(time.instant())) {
            throw new PlatformException("the order is late");
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        Map<ModelKey, LoadedModel.State> before = new HashMap<>(models);
        boolean same = before.keySet().equals(order.models());
        if (same) {
            return;
        }
        models.keySet().retainAll(order.models());
        dropRunsWithoutModel();
        Set<ModelKey> missing = new HashSet<>(order.models());
        missing.removeAll(models.keySet());
        if (missing.isEmpty()) {
            return;
        }
        missing.forEach(key -> models.put(key, LoadedModel.State.LOADING));
        beginLoad();
    }

    private void dropRunsWithoutModel() {
        for (EngineRun run : List.copyOf(runs.values())) {
            if (!models.containsKey(run.call().modelKey())) {
                run.fail(TargetFailure.Kind.FAILED, "the model was unloaded");
            }
        }
    }

    private void beginLoad() {
        int load = ++loads;
        loading.begin(name);
        Duration duration = loading.engines.size() > CROWD ? CROWDED_LOAD : LOAD;
        process.schedule(
                duration,
                () -> {
                    if (load == loads) {
                        loading.end(name);
                        models.replaceAll((key, state) -> LoadedModel.State.READY);
                        newIncarnation();
                    }
                });
    }
}
