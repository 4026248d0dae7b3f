package org.bergamothoist.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * The computing part of an engine stand-in: one prefill at a time in order of priority, and
 * decoding of all running streams in common steps. Confined to the engine's event loop.
 */
final class EngineCore {

    /** Time for which a finished stream can be resumed. */
    static final Duration STREAM_RETENTION = Duration.ofSeconds(30);

    private static final Comparator<Generation> ORDER =
            Comparator.comparingInt(Generation::priority).thenComparingLong(Generation::arrival);

    private final EngineSettings settings;
    private final InstantSource clock;
    private final CacheDirectory directory;
    private final BlockCache cache;
    private final BiConsumer<Duration, Runnable> timer;
    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(ORDER);
    private final Set<Generation> running = new LinkedHashSet<>();
    private final Map<String, Generation> streams = new HashMap<>();
    private final LongAdder prefilledTokens = new LongAdder();
    private final LongAdder cachedTokens = new LongAdder();
    private final LongAdder generatedTokens = new LongAdder();
    private final LongAdder recomputedTokens = new LongAdder();
    private final LongAdder discardedTokens = new LongAdder();
    private final LongAdder foreignContinuations = new LongAdder();
    private Predicate<String> crashingPrompt = prompt -> false;
    private Runnable crash = () -> {};
    private Optional<Generation> prefilling = Optional.empty();
    private boolean stepPlanned;
    private double slowness = 1;
    private long arrivals;

    EngineCore(
            EngineSettings settings,
            InstantSource clock,
            CacheDirectory directory,
            BiConsumer<Duration, Runnable> timer) {
        this.settings = settings;
        this.clock = clock;
        this.directory = directory;
        this.cache = new BlockCache(settings, clock, directory);
        this.timer = timer;
    }

    BlockCache cache() {
        return cache;
    }

    EngineCounters counters() {
        return new EngineCounters(
                prefilledTokens.sum(),
                cachedTokens.sum(),
                generatedTokens.sum(),
                recomputedTokens.sum(),
                discardedTokens.sum(),
                foreignContinuations.sum());
    }

    void slow(double factor) {
        slowness = factor;
    }

    void crashOnPrompt(Predicate<String> prompt, Runnable action) {
        crashingPrompt = prompt;
        crash = action;
    }

    boolean full() {
        return waiting.size() >= settings.bounds().queued();
    }

    long queuedTokens() {
        long tokens = prefilling.map(Generation::prefilledTokens).orElse(0);
        return tokens + waiting.stream().mapToLong(Generation::promptTokens).sum();
    }

    int runningStreams() {
        return running.size();
    }

    /** Queues a request under the incarnation that accepts it. */
    Generation accept(EngineMessages.Completion request, String incarnation) {
        forgetOldStreams();
        String streamId = incarnation + "-" + arrivals;
        Generation generation =
                new Generation(streamId, incarnation, request, settings, arrivals++);
        if (!generation.continuationMatches()) {
            foreignContinuations.increment();
        }
        streams.put(streamId, generation);
        waiting.add(generation);
        return generation;
    }

    /** Returns a stream that runs or has finished shortly before. */
    Optional<Generation> stream(String streamId) {
        forgetOldStreams();
        return Optional.ofNullable(streams.get(streamId));
    }

    /** Ends a stream; a stream that has ended stays as it is. */
    void cancel(Generation generation) {
        if (generation.ended()) {
            return;
        }
        generation.fail(clock.instant(), "cancelled");
        waiting.remove(generation);
        running.remove(generation);
        discardedTokens.add(generation.undeliveredTokens());
        generation.pump();
        if (prefilling.filter(generation::equals).isPresent()) {
            prefilling = Optional.empty();
        }
        startPrefill();
    }

    /** Forgets all streams, as a crash does. */
    void abandonAll() {
        streams.values().stream()
                .filter(generation -> !generation.ended())
                .forEach(generation -> discardedTokens.add(generation.undeliveredTokens()));
        waiting.clear();
        running.clear();
        streams.clear();
        prefilling = Optional.empty();
        stepPlanned = false;
    }

    /** Sends what waited while the engine was frozen. */
    void pumpAll() {
        streams.values().forEach(Generation::pump);
    }

    /** Begins the next prefill if the engine is free for one. */
    void startPrefill() {
        if (prefilling.isPresent()
                || waiting.isEmpty()
                || running.size() >= settings.bounds().running()) {
            return;
        }
        Generation generation = waiting.remove();
        if (crashingPrompt.test(generation.prompt())) {
            crash.run();
            return;
        }
        prefilling = Optional.of(generation);
        int cachedBlocks = cache.match(generation.chain(), generation.contents());
        int cached = cachedBlocks * settings.cache().blockTokens();
        generation.beginPrefill(cached);
        cachedTokens.add(cached);
        prefilledTokens.add(generation.prefilledTokens());
        int heldElsewhere = directory.heldFrom(generation.chain(), cachedBlocks);
        recomputedTokens.add((long) heldElsewhere * settings.cache().blockTokens());
        generation.pump();
        Duration time =
                settings.costs().prefillPerToken().multipliedBy(generation.prefilledTokens());
        timer.accept(slowed(time), () -> finishPrefill(generation));
    }

    private void finishPrefill(Generation generation) {
        if (prefilling.filter(generation::equals).isEmpty()) {
            return;
        }
        prefilling = Optional.empty();
        cache.store(generation.chain(), generation.contents());
        running.add(generation);
        generate(generation);
        startPrefill();
        planStep();
    }

    private void planStep() {
        if (stepPlanned || running.isEmpty()) {
            return;
        }
        stepPlanned = true;
        Duration time =
                settings.costs()
                        .decodeBase()
                        .plus(settings.costs().decodePerStream().multipliedBy(running.size()));
        timer.accept(slowed(time), this::step);
    }

    private void step() {
        stepPlanned = false;
        List<Generation> batch = new ArrayList<>(running);
        batch.forEach(this::generate);
        startPrefill();
        planStep();
    }

    private void generate(Generation generation) {
        generatedTokens.increment();
        if (!generation.generate()) {
            running.remove(generation);
            generation.end(clock.instant());
        }
        generation.pump();
    }

    private void forgetOldStreams() {
        Instant oldest = clock.instant().minus(STREAM_RETENTION);
        streams.values().removeIf(generation -> generation.endedBefore(oldest));
    }

    private Duration slowed(Duration time) {
        return Duration.ofNanos((long) (time.toNanos() * slowness));
    }
}
