package org.bergamothoist.measure.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.prompt.Prompt;

/** The prefix cache of one engine incarnation: bounded, keyed by cache salt and text. */
final class EngineCacheBlocks {

    private static final int CAPACITY = 30;

    private final RunLog log;
    private final Map<BlockKey, Block> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();
    private long sequence;

    EngineCacheBlocks(RunLog log) {
        this.log = log;
    }

    /** What an engine can know of a block: the salt and the text up to the block's end. */
    private record BlockKey(String salt, String prefix) {}

    /** A block, with those that stored it, to check that the salt keeps them apart. */
    private record Block(OrganisationId organisation, ModelKey modelKey, long hash) {}

    /** Returns how many prompt tokens are cached, and checks whose they are. */
    int cachedTokens(EngineCall call) {
        int matched = 0;
        while (matched < call.hashChain().length()) {
            Block block = blocks.get(key(call, matched));
            if (block == null) {
                break;
            }
            boolean own =
                    block.organisation.equals(call.organisation())
                            && block.modelKey.equals(call.modelKey());
            log.check(
                    Property.CACHE_ISOLATION,
                    own,
                    call.requestId()
                            + " of "
                            + call.organisation()
                            + " under "
                            + call.modelKey()
                            + " used a block of "
                            + block);
            matched++;
        }
        return matched * call.hashChain().blockTokens();
    }

    void store(EngineCall call) {
        for (int index = 0; index < call.hashChain().length(); index++) {
            BlockKey key = key(call, index);
            if (blocks.get(key) == null) {
                long hash = call.hashChain().hash(index);
                blocks.put(key, new Block(call.organisation(), call.modelKey(), hash));
                events.add(new CacheEvent(++sequence, CacheEvent.Kind.STORED, hash));
            }
        }
        while (blocks.size() > CAPACITY) {
            BlockKey oldest = blocks.keySet().iterator().next();
            Block evicted = blocks.remove(oldest);
            events.add(new CacheEvent(++sequence, CacheEvent.Kind.REMOVED, evicted.hash));
        }
    }

    private static BlockKey key(EngineCall call, int index) {
        int length = (index + 1) * call.hashChain().blockTokens() * Prompt.BYTES_PER_TOKEN;
        return new BlockKey(call.cacheSalt(), call.prompt().text().substring(0, length));
    }

    long sequence() {
        return sequence;
    }

    /** Loses an event that nobody has read. */
    void loseEvent(int fromEnd) {
        if (fromEnd < events.size()) {
            events.remove(events.size() - 1 - fromEnd);
        }
    }

    List<CacheEvent> eventsAfter(long after, int maximum) {
        return events.stream().filter(event -> event.sequence() > after).limit(maximum).toList();
    }

    List<Long> hashes() {
        return blocks.values().stream().map(Block::hash).toList();
    }
}
