package org.bergamothoist.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * An engine with continuous batching: one prompt is computed at a time, beside the streams of the
 * batch; a request waits for a place in the batch and for memory, first come first served.
 */
final class FakeEngine {

    private static final Duration REPORT_LAG = Duration.ofMillis(500);

    private final TargetId id;
    private final EngineProfile profile;
    private final VirtualTime time;
    private final EngineCache cache;
    private final boolean perfectCache;
    private final double lossRate;
    private final SplittableRandom random;
    private final Deque<Attempt> queue = new ArrayDeque<>();
    private final Set<Attempt> running = new LinkedHashSet<>();
    private final Map<Long, Integer> expectedBlocks = new HashMap<>();
    private EngineEvents events;
    private int incarnationNumber = 1;
    private boolean alive = true;
    private double speed = 1;
    private double expectedSeconds;
    private int expectedStreams;
    private Attempt prefilling;
    private long prefillEndMilliseconds;
    private EngineReport lastReport;

    FakeEngine(
            int number,
            EngineProfile profile,
            RunSettings settings,
            VirtualTime time,
            SplittableRandom random) {
        this.id = new TargetId("engine-" + number);
        this.profile = profile;
        this.time = time;
        this.random = random;
        this.perfectCache = settings.perfectCache();
        this.lossRate = settings.eventLossRate();
        this.events = new EngineEvents(lossRate, random);
        this.cache =
                new EngineCache(
                        profile.memoryBlocks(),
                        hash -> events.add(CacheEvent.Kind.STORED, hash, time.millis()),
                        hash -> events.add(CacheEvent.Kind.REMOVED, hash, time.millis()));
        measureLoad();
    }

    TargetId id() {
        return id;
    }

    boolean alive() {
        return alive;
    }

    EngineIncarnation incarnation() {
        return new EngineIncarnation(id.value() + "-run-" + incarnationNumber);
    }

    /** Sets a factor for the prefill rate, to fill the caches quickly before the measured time. */
    void speed(double factor) {
        speed = factor;
    }

    int matched(BlockHashChain chain) {
        return perfectCache ? chain.length() : cache.matched(chain);
    }

    /** Returns the leading blocks that are cached or will be when the queue has been computed. */
    int matchedWhenQueueComputed(BlockHashChain chain) {
        int matched = 0;
        while (matched < chain.length()
                && (perfectCache
                        || cache.holds(chain.hash(matched))
                        || expectedBlocks.containsKey(chain.hash(matched)))) {
            matched++;
        }
        return matched;
    }

    /** Returns the true seconds until one more request would be computed. */
    double queueingSeconds() {
        double current = 0;
        if (prefilling != null) {
            current = Math.max(0, prefillEndMilliseconds - time.millis()) / 1000.0;
        }
        int excess = expectedStreams + 1 - profile.streams();
        double slot = averageStreamSeconds() / profile.streams();
        return current + expectedSeconds + Math.max(0, excess) * slot;
    }

    private double averageStreamSeconds() {
        double sum = 0;
        for (Attempt attempt : running) {
            sum += attempt.request.answerTokens() * profile.stepSeconds(running.size());
        }
        return running.isEmpty() ? 0 : sum / running.size();
    }

    double prefillSeconds(int tokens) {
        return profile.prefillSeconds(tokens, running.size());
    }

    /** Announces a request that is on its way, so that perfect knowledge includes it. */
    Attempt expect(FakeRequest request, int answerTokens, FakeStreamListener listener) {
        int matched = matchedWhenQueueComputed(request.chain());
        Attempt attempt = new Attempt(request, answerTokens, listener);
        attempt.expectedBy = incarnationNumber;
        attempt.expectedSeconds = prefillSeconds(request.chain().uncachedTokens(matched));
        expectedSeconds += attempt.expectedSeconds;
        expectedStreams++;
        for (int index = 0; index < request.chain().length(); index++) {
            expectedBlocks.merge(request.chain().hash(index), 1, Integer::sum);
        }
        return attempt;
    }

    private void noLongerQueued(Attempt attempt) {
        expectedSeconds = Math.max(0, expectedSeconds - attempt.expectedSeconds);
        for (int index = 0; index < attempt.request.chain().length(); index++) {
            expectedBlocks.merge(
                    attempt.request.chain().hash(index),
                    -1,
                    (left, right) -> left + right == 0 ? null : left + right);
        }
    }

    /** Takes a request that was announced. */
    void submit(Attempt attempt) {
        if (!alive || attempt.expectedBy != incarnationNumber) {
            attempt.lost = true;
            attempt.listener.onFailed(0);
            return;
        }
        queue.addLast(attempt);
        startPrefill();
    }

    private void startPrefill() {
        if (prefilling != null || queue.isEmpty() || running.size() >= profile.streams()) {
            return;
        }
        Attempt next = queue.peekFirst();
        int cached = reserve(next);
        if (cached < 0) {
            return;
        }
        queue.removeFirst();
        noLongerQueued(next);
        next.cachedBlocks = cached;
        next.listener.onPrefill(cached);
        prefilling = next;
        int tokens = next.request.chain().uncachedTokens(cached);
        double seconds = prefillSeconds(tokens) / speed;
        long nanos = Math.round(seconds * 1e9);
        prefillEndMilliseconds = time.millis() + nanos / 1_000_000;
        time.schedule(Duration.ofNanos(nanos), () -> endPrefill(next));
    }

    private int reserve(Attempt attempt) {
        return perfectCache
                ? attempt.request.chain().length()
                : cache.reserve(attempt.request.chain(), attempt.privateBlocks());
    }

    private void endPrefill(Attempt attempt) {
        if (attempt.lost) {
            return;
        }
        prefilling = null;
        running.add(attempt);
        if (!perfectCache) {
            cache.store(attempt.request.chain(), attempt.cachedBlocks);
        }
        attempt.listener.onFirstToken(
                incarnation(), attempt.cachedBlocks * EngineProfile.BLOCK_TOKENS);
        attempt.startedAt = time.millis();
        attempt.stepSeconds = profile.stepSeconds(running.size());
        double seconds = attempt.answerTokens * attempt.stepSeconds;
        time.schedule(Duration.ofNanos(Math.round(seconds * 1e9)), () -> finish(attempt));
        startPrefill();
    }

    private void finish(Attempt attempt) {
        if (attempt.lost) {
            return;
        }
        running.remove(attempt);
        expectedStreams--;
        if (!perfectCache) {
            cache.release(attempt.request.chain(), attempt.request.chain().length());
            cache.releasePrivate(attempt.privateBlocks());
        }
        attempt.listener.onFinished();
        startPrefill();
    }

    /** Loses all streams and the cache. */
    void crash() {
        alive = false;
        List<Attempt> lost = new ArrayList<>(queue);
        lost.addAll(running);
        if (prefilling != null) {
            lost.add(prefilling);
        }
        queue.clear();
        running.clear();
        prefilling = null;
        expectedBlocks.clear();
        expectedSeconds = 0;
        expectedStreams = 0;
        cache.clear();
        for (Attempt attempt : lost) {
            attempt.lost = true;
            attempt.listener.onFailed(attempt.computedTokens(time.millis()));
        }
    }

    /** Comes back empty, as a new incarnation. */
    void restart() {
        alive = true;
        incarnationNumber++;
        events = new EngineEvents(lossRate, random);
        lastReport = report(0, 0);
    }

    private void measureLoad() {
        long tokens = 0;
        for (Attempt attempt : queue) {
            tokens += attempt.request.chain().uncachedTokens(matched(attempt.request.chain()));
        }
        if (prefilling != null) {
            tokens += prefilling.request.chain().uncachedTokens(prefilling.cachedBlocks);
        }
        lastReport = report(tokens, running.size() + (prefilling == null ? 0 : 1));
        time.schedule(REPORT_LAG, this::measureLoad);
    }

    private EngineReport report(long queuedTokens, int streams) {
        return new EngineReport(
                incarnation(),
                List.of(),
                queuedTokens,
                streams,
                Instant.EPOCH.plusMillis(time.millis()),
                events.lastSequence(),
                false,
                true);
    }

    EngineReport report() {
        return lastReport;
    }

    CacheEventPage events(long afterSequence) {
        return new CacheEventPage(incarnation(), events.after(afterSequence, time.millis()));
    }

    CacheSnapshot snapshot() {
        return new CacheSnapshot(incarnation(), events.lastSequence(), cache.blocks());
    }

    /** One request at the engine. */
    static final class Attempt {
        private final FakeRequest request;
        private final int answerTokens;
        private final FakeStreamListener listener;
        private double expectedSeconds;
        private int expectedBy;
        private int cachedBlocks;
        private long startedAt = -1;
        private double stepSeconds;
        private boolean lost;

        private Attempt(FakeRequest request, int answerTokens, FakeStreamListener listener) {
            this.request = request;
            this.answerTokens = answerTokens;
            this.listener = listener;
        }

        private int privateBlocks() {
            int tail = request.chain().uncachedTokens(request.chain().length());
            return 1 + (tail + answerTokens) / EngineProfile.BLOCK_TOKENS;
        }

        private int computedTokens(long nowMilliseconds) {
            if (startedAt < 0) {
                return 0;
            }
            int generated = (int) ((nowMilliseconds - startedAt) / 1000.0 / stepSeconds);
            return request.chain().uncachedTokens(cachedBlocks) + generated;
        }
    }
}
