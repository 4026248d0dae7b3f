package org.bergamothoist.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bergamothoist.core.identity.ModelKey;

/** An engine's prefix cache with its events; evicts the least recently used block. */
final class BlockCache {

    private static final int MAXIMUM_KEPT_EVENTS = 100_000;
    private static final int MAXIMUM_PAGE_EVENTS = 10_000;

    private final int capacity;
    private final Duration eventDelay;
    private final double eventLoss;
    private final InstantSource clock;
    private final Random random;
    private final CacheDirectory directory;
    private final Map<BlockKey, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long sequence;

    /** Where a block is found: the same label under another salt is another block. */
    record BlockKey(String salt, String label) {}

    /**
     * A cached block.
     *
     * @param content hash of the prefix that the engine computed itself; guards against a label
     *     that a client gives to two different prefixes
     */
    record Block(String organisation, ModelKey modelKey, long content) {}

    private record TimedEvent(Instant visibleAt, EngineMessages.Event event) {}

    BlockCache(EngineSettings settings, InstantSource clock, CacheDirectory directory) {
        this.capacity = settings.cache().blocks();
        this.eventDelay = settings.reporting().eventDelay();
        this.eventLoss = settings.reporting().eventLoss();
        this.clock = clock;
        this.random = new Random(settings.seed());
        this.directory = directory;
    }

    /** Returns how many leading blocks are cached and marks them as used. */
    int match(List<BlockKey> chain, List<Block> contents) {
        int matched = 0;
        while (matched < chain.size() && contents.get(matched).equals(peek(chain.get(matched)))) {
            matched++;
        }
        for (int index = matched - 1; index >= 0; index--) {
            blocks.get(chain.get(index));
        }
        return matched;
    }

    /** Stores the chain; the first block counts as used most recently, as all others need it. */
    void store(List<BlockKey> chain, List<Block> contents) {
        for (int index = Math.min(chain.size(), capacity) - 1; index >= 0; index--) {
            BlockKey key = chain.get(index);
            Block previous = blocks.put(key, contents.get(index));
            if (previous == null) {
                directory.added(key);
                emit("stored", key.label());
            }
        }
        evict();
    }

    /** Returns the entries that hold the given labels for an organisation and model. */
    Map<BlockKey, Block> find(String organisation, ModelKey modelKey, List<String> labels) {
        Map<BlockKey, Block> found = new LinkedHashMap<>();
        blocks.forEach(
                (key, block) -> {
                    if (block.organisation().equals(organisation)
                            && block.modelKey().equals(modelKey)
                            && labels.contains(key.label())) {
                        found.put(key, block);
                    }
                });
        return found;
    }

    /** Drops all blocks and events without any event, as a new incarnation does. */
    void clear() {
        blocks.keySet().forEach(directory::removed);
        blocks.clear();
        events.clear();
        sequence = 0;
    }

    long lastSequence() {
        return sequence;
    }

    List<String> labels() {
        return blocks.keySet().stream().map(BlockKey::label).toList();
    }

    /** Returns the visible events after a sequence number. */
    List<EngineMessages.Event> eventsAfter(long after) {
        Instant now = clock.instant();
        List<EngineMessages.Event> page = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.visibleAt().isAfter(now) || page.size() >= MAXIMUM_PAGE_EVENTS) {
                break;
            }
            if (timed.event().sequence() > after) {
                page.add(timed.event());
            }
        }
        return page;
    }

    private Block peek(BlockKey key) {
        return blocks.containsKey(key) ? blocks.get(key) : null;
    }

    private void evict() {
        Iterator<BlockKey> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacity) {
            BlockKey key = oldest.next();
            oldest.remove();
            directory.removed(key);
            emit("removed", key.label());
        }
    }

    private void emit(String kind, String label) {
        sequence++;
        if (random.nextDouble() < eventLoss) {
            return;
        }
        Instant visibleAt = clock.instant().plus(eventDelay);
        events.add(new TimedEvent(visibleAt, new EngineMessages.Event(sequence, kind, label)));
        if (events.size() > MAXIMUM_KEPT_EVENTS) {
            events.removeFirst();
        }
    }
}
