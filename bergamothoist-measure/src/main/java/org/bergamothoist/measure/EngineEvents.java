package org.bergamothoist.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.bergamothoist.core.platform.CacheEvent;

/** The event stream of a fake engine: late, with losses in bursts. */
final class EngineEvents {

    private static final long LATENESS_MILLISECONDS = 300;
    private static final int RETAINED = 20_000;
    private static final int PAGE = 2_000;
    private static final int BURST = 25;

    private final SplittableRandom random;
    private final double lossRate;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private long lastSequence;
    private int burstLeft;

    EngineEvents(double lossRate, SplittableRandom random) {
        this.lossRate = lossRate;
        this.random = random;
    }

    long lastSequence() {
        return lastSequence;
    }

    void add(CacheEvent.Kind kind, long hash, long nowMilliseconds) {
        lastSequence++;
        if (burstLeft == 0 && random.nextDouble() < lossRate / BURST) {
            burstLeft = BURST;
        }
        if (burstLeft > 0) {
            burstLeft--;
            return;
        }
        entries.addLast(new Entry(new CacheEvent(lastSequence, kind, hash), nowMilliseconds));
        if (entries.size() > RETAINED) {
            entries.removeFirst();
        }
    }

    List<CacheEvent> after(long sequence, long nowMilliseconds) {
        List<CacheEvent> page = new ArrayList<>();
        for (Entry entry : entries) {
            boolean visible = entry.at <= nowMilliseconds - LATENESS_MILLISECONDS;
            if (entry.event.sequence() > sequence && visible && page.size() < PAGE) {
                page.add(entry.event);
            }
        }
        return page;
    }

    private record Entry(CacheEvent event, long at) {}
}
