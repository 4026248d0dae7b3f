package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.standin.BlockCache.Block;
import org.bergamothoist.standin.BlockCache.BlockKey;
import org.bergamothoist.standin.internal.Json;

/** A model engine that generates {@link GeneratedText} at configured costs. */
public final class EngineStandIn implements AutoCloseable {

    /** Time to move one block from or to the KV cache store. */
    private static final Duration TRANSFER_PER_BLOCK = Duration.ofMillis(2);

    private static final int NEVER = -1;

    private final String name;
    private final EngineSettings settings;
    private final InstantSource clock;
    private final CacheStoreStandIn cacheStore;
    private final StandInHttpServer server;
    private final EngineCore core;
    private final EngineModels models;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Map<String, Integer> receipts = new ConcurrentHashMap<>();
    private final List<Runnable> frozenWork = new ArrayList<>();
    private boolean frozen;
    private boolean crashed;
    private long run;
    private int incarnationNumber = 1;
    private long highestFencingNumber;
    private String role = "";
    private int resetNextAfter = NEVER;
    private Optional<Duration> automaticRestart = Optional.empty();
    private Optional<Instant> leavingSince = Optional.empty();
    private Duration lastWorkAfterLeaving = Duration.ZERO;
    private LoadSample sample;

    private record LoadSample(long queuedTokens, int runningStreams, Instant measuredAt) {}

    private record StoredBlock(String salt, long content) {}

    /** Starts an engine. The stores and the directory are shared by the engines of a platform. */
    EngineStandIn(
            EventLoopGroup group,
            String name,
            EngineSettings settings,
            InstantSource clock,
            WeightStoreStandIn weightStore,
            CacheStoreStandIn cacheStore,
            CacheDirectory directory) {
        this.name = name;
        this.settings = settings;
        this.clock = clock;
        this.cacheStore = cacheStore;
        this.core = new EngineCore(settings, clock, directory, this::after);
        this.models =
                new EngineModels(
                        settings.models(), weightStore, this::after, this::beginIncarnation);
        this.sample = new LoadSample(0, 0, clock.instant());
        this.server = StandInHttpServer.start(group, this::receive);
        server.run(this::sampleLoad);
    }

    /** Returns the engine's name. */
    public String name() {
        return name;
    }

    /** Returns the TCP port, the same over restarts. */
    public int port() {
        return server.port();
    }

    /** Returns the current incarnation. */
    public String incarnation() {
        return server.call(this::currentIncarnation);
    }

    /** Returns the role of the last order taken, empty before any. */
    public String role() {
        return server.call(() -> role);
    }

    /** Returns what the engine counted so far. */
    public EngineCounters counters() {
        return core.counters();
    }

    /** Returns how often the engine accepted the request for generation; resumes do not count. */
    public int executions(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }

    /** Returns how often the request reached the engine, accepted or refused. */
    public int receipts(String requestId) {
        return receipts.getOrDefault(requestId, 0);
    }

    /** Returns the labels of all cached blocks. */
    public List<String> cachedBlocks() {
        return server.call(() -> core.cache().labels());
    }

    /** Resets all connections, loses cache and streams, and refuses connections. */
    public void crash() {
        server.run(this::stop);
    }

    /** Accepts connections again as a new incarnation with an empty cache. */
    public void restart() {
        server.run(
                () -> {
                    stop();
                    crashed = false;
                    beginIncarnation();
                    sampleLoad();
                    models.loadMissing();
                });
        server.accept();
    }

    /** Keeps connections open, but neither computes nor answers. */
    public void freeze() {
        server.run(() -> frozen = true);
    }

    /** Goes on with everything that waited. */
    public void unfreeze() {
        server.run(
                () -> {
                    frozen = false;
                    List<Runnable> work = List.copyOf(frozenWork);
                    frozenWork.clear();
                    long currentRun = run;
                    work.stream().takeWhile(next -> run == currentRun).forEach(Runnable::run);
                    core.pumpAll();
                });
    }

    /** Crashes whenever the prefill of a prompt begins for which the predicate holds. */
    public void crashOnPrompt(Predicate<String> prompt) {
        server.run(() -> core.crashOnPrompt(prompt, this::crashByPrompt));
    }

    /** Restarts this long after each crash that a prompt caused. */
    public void restartAfterCrash(Duration delay) {
        server.run(() -> automaticRestart = Optional.of(delay));
    }

    /** Resets the connection of the next completion after this many pieces; its stream goes on. */
    public void dropAnswerAfter(int pieces) {
        server.run(() -> resetNextAfter = pieces);
    }

    /** Multiplies the time of all computing, 1 for the usual speed. */
    public void slow(double factor) {
        server.run(() -> core.slow(factor));
    }

    /** Reports from now on that the engine is being drained; it still takes work. */
    public void leaving() {
        server.run(() -> leavingSince = Optional.of(clock.instant()));
    }

    /** Returns how long after {@link #leaving} the last new work arrived, zero if none did. */
    public Duration lastWorkAfterLeaving() {
        return server.call(() -> lastWorkAfterLeaving);
    }

    @Override
    public void close() {
        crash();
    }

    private String currentIncarnation() {
        return name + ":" + incarnationNumber;
    }

    private void stop() {
        run++;
        crashed = true;
        frozen = false;
        frozenWork.clear();
        core.abandonAll();
        core.cache().clear();
        models.abandonLoad();
        server.refuse();
    }

    private void crashByPrompt() {
        stop();
        automaticRestart.ifPresent(delay -> server.schedule(delay, this::restartIfCrashed));
    }

    private void restartIfCrashed() {
        if (crashed) {
            restart();
        }
    }

    /** Begins a new incarnation, whose cache is empty. */
    private void beginIncarnation() {
        incarnationNumber++;
        core.cache().clear();
    }

    /** Runs work later, unless the engine crashes before; frozen work waits. */
    private void after(Duration delay, Runnable work) {
        long currentRun = run;
        server.schedule(
                delay,
                () -> {
                    if (currentRun != run) {
                        return;
                    }
                    unlessFrozen(work);
                });
    }

    private void unlessFrozen(Runnable work) {
        if (frozen) {
            frozenWork.add(work);
            return;
        }
        work.run();
    }

    private void sampleLoad() {
        sample = new LoadSample(core.queuedTokens(), core.runningStreams(), clock.instant());
        if (!settings.reporting().loadLag().isZero()) {
            after(settings.reporting().loadLag(), this::sampleLoad);
        }
    }

    private void receive(StandInRequest request, StandInResponse response) {
        if (frozen) {
            frozenWork.add(() -> handle(request, response));
            return;
        }
        handle(request, response);
    }

    private void handle(StandInRequest request, StandInResponse response) {
        List<String> path = request.segments();
        String call = request.method() + " " + request.path();
        switch (call) {
            case "POST /v1/completions" -> complete(request, response);
            case "GET /v1/report" -> response.json(200, report());
            case "GET /v1/cache/events" -> {
                List<EngineMessages.Event> events =
                        core.cache().eventsAfter(request.parameter("after", 0));
                response.json(200, new EngineMessages.Events(currentIncarnation(), events));
            }
            case "GET /v1/cache/snapshot" -> response.json(200, snapshot());
            case "POST /v1/orders" ->
                    order(Json.read(request.body(), EngineMessages.Order.class), response);
            case "POST /v1/cache/transfers" -> {
                transfer(Json.read(request.body(), EngineMessages.Transfer.class));
                response.empty(202);
            }
            default -> {
                if (path.size() == 3 && request.path().startsWith("/v1/streams/")) {
                    stream(path.get(2), request, response);
                } else {
                    response.message(404, "unknown path");
                }
            }
        }
    }

    private void complete(StandInRequest request, StandInResponse response) {
        EngineMessages.Completion completion =
                Json.read(request.body(), EngineMessages.Completion.class);
        receipts.merge(completion.requestId(), 1, Integer::sum);
        leavingSince.ifPresent(
                since -> lastWorkAfterLeaving = Duration.between(since, clock.instant()));
        if (!models.ready(completion.modelKey())) {
            response.message(409, "model, adapter or version is not loaded");
            return;
        }
        if (core.full()) {
            response.message(503, "prefill queue is full");
            return;
        }
        executions.merge(completion.requestId(), 1, Integer::sum);
        Generation generation = core.accept(completion, currentIncarnation());
        int resetAfter = resetNextAfter;
        resetNextAfter = NEVER;
        generation.subscribe(response.events(), 0, resetAfter);
        core.startPrefill();
    }

    private void stream(String streamId, StandInRequest request, StandInResponse response) {
        Optional<Generation> generation = core.stream(streamId);
        if (request.method().equals("DELETE")) {
            generation.ifPresent(core::cancel);
            response.empty(204);
            return;
        }
        String incarnation = request.header("Engine-Incarnation").orElse("");
        if (generation.isEmpty()
                || !incarnation.equals(currentIncarnation())
                || !incarnation.equals(generation.get().incarnation())) {
            response.message(404, "unknown stream or other incarnation");
            return;
        }
        int from = Math.toIntExact(request.parameter("from", 0));
        generation.get().subscribe(response.events(), from, NEVER);
    }

    private EngineMessages.Report report() {
        if (settings.reporting().loadLag().isZero()) {
            sampleLoad();
        }
        return new EngineMessages.Report(
                currentIncarnation(),
                models.report(),
                sample.queuedTokens(),
                sample.runningStreams(),
                sample.measuredAt().toString(),
                core.cache().lastSequence(),
                leavingSince.isPresent(),
                settings.fencing());
    }

    private EngineMessages.Snapshot snapshot() {
        return new EngineMessages.Snapshot(
                currentIncarnation(), core.cache().lastSequence(), core.cache().labels());
    }

    private void order(EngineMessages.Order order, StandInResponse response) {
        if (clock.instant().isAfter(Instant.parse(order.deadline()))) {
            response.message(409, "deadline has passed");
            return;
        }
        if (settings.fencing() && order.fencingNumber() < highestFencingNumber) {
            response.message(409, "fencing number is old");
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        role = order.role() == null ? "" : order.role();
        LinkedHashSet<ModelKey> wanted = new LinkedHashSet<>();
        order.models().forEach(model -> wanted.add(model.key()));
        models.order(wanted);
        response.empty(202);
    }

    private void transfer(EngineMessages.Transfer transfer) {
        Duration time = TRANSFER_PER_BLOCK.multipliedBy(transfer.blockHashes().size());
        boolean export = transfer.direction().equals("export");
        after(
                time,
                () -> {
                    if (export) {
                        exportBlocks(transfer);
                    } else {
                        importBlocks(transfer);
                    }
                });
    }

    private void exportBlocks(EngineMessages.Transfer transfer) {
        Map<BlockKey, Block> found =
                core.cache()
                        .find(transfer.organisation(), transfer.modelKey(), transfer.blockHashes());
        found.forEach(
                (key, block) -> {
                    byte[] stored = Json.write(new StoredBlock(key.salt(), block.content()));
                    cacheStore.put(blockName(transfer, key.label()), stored);
                });
    }

    private void importBlocks(EngineMessages.Transfer transfer) {
        if (!models.ready(transfer.modelKey())) {
            return;
        }
        Map<BlockKey, Block> chain = new LinkedHashMap<>();
        for (String label : transfer.blockHashes()) {
            Optional<byte[]> bytes = cacheStore.get(blockName(transfer, label));
            if (bytes.isEmpty()) {
                continue;
            }
            StoredBlock stored = Json.read(bytes.get(), StoredBlock.class);
            chain.put(
                    new BlockKey(stored.salt(), label),
                    new Block(transfer.organisation(), transfer.modelKey(), stored.content()));
        }
        core.cache().store(List.copyOf(chain.keySet()), List.copyOf(chain.values()));
    }

    private static CacheStoreStandIn.BlockName blockName(
            EngineMessages.Transfer transfer, String label) {
        return new CacheStoreStandIn.BlockName(transfer.organisation(), transfer.modelKey(), label);
    }
}
