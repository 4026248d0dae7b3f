package org.bergamothoist.core.cache;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongConsumer;

/**
 * Counts recent requests per block, with exponential decay. The table is bounded and 4-way set
 * associative; the least popular block of a full set is evicted.
 */
public final class BlockPopularity {

    private static final int WAYS = 4;
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final InstantSource clock;
    private final Instant start;
    private final double halfLifeMilliseconds;
    private final long[] hashes;
    private final float[] counts;
    private final int[] updatedAt;
    private final int setMask;

    BlockPopularity(int entries, Duration halfLife, InstantSource clock) {
        this.clock = clock;
        this.start = clock.instant();
        this.halfLifeMilliseconds = halfLife.toMillis();
        int sets = Integer.highestOneBit(Math.max(2, entries / WAYS) - 1) << 1;
        this.setMask = sets - 1;
        this.hashes = new long[sets * WAYS];
        this.counts = new float[sets * WAYS];
        this.updatedAt = new int[sets * WAYS];
    }

    /** Adds requests to the count of a block. */
    void addRequests(long hash, float requests) {
        int now = now();
        int slot = findOrReplaceSlot(hash, now);
        counts[slot] = (float) (hashes[slot] == hash ? decayed(slot, now) + requests : requests);
        hashes[slot] = hash;
        updatedAt[slot] = now;
    }

    /** Returns the decayed number of requests for the block, 0 if it is not in the table. */
    public double count(long hash) {
        int slot = find(hash);
        return slot < 0 ? 0 : decayed(slot, now());
    }

    /** Returns the estimated number of requests per second for the block. */
    public double requestsPerSecond(long hash) {
        return count(hash) * Math.log(2) * MILLISECONDS_PER_SECOND / halfLifeMilliseconds;
    }

    /** Calls the action with the hash of each block whose count is at least the minimum. */
    void forEachWithCount(double minimumCount, LongConsumer action) {
        int now = now();
        for (int slot = 0; slot < hashes.length; slot++) {
            if (counts[slot] > 0 && decayed(slot, now) >= minimumCount) {
                action.accept(hashes[slot]);
            }
        }
    }

    private int findOrReplaceSlot(long hash, int now) {
        int first = firstSlotOfSet(hash);
        int leastPopular = first;
        for (int slot = first; slot < first + WAYS; slot++) {
            if (hashes[slot] == hash && counts[slot] > 0) {
                return slot;
            }
            if (decayed(slot, now) < decayed(leastPopular, now)) {
                leastPopular = slot;
            }
        }
        // A different hash, so that the caller starts a new count in this slot.
        hashes[leastPopular] = ~hash;
        return leastPopular;
    }

    private int find(long hash) {
        int first = firstSlotOfSet(hash);
        for (int slot = first; slot < first + WAYS; slot++) {
            if (hashes[slot] == hash && counts[slot] > 0) {
                return slot;
            }
        }
        return -1;
    }

    private int firstSlotOfSet(long hash) {
        return ((int) (hash >>> 32) & setMask) * WAYS;
    }

    private double decayed(int slot, int now) {
        if (counts[slot] == 0) {
            return 0;
        }
        return counts[slot] * Math.pow(0.5, (now - updatedAt[slot]) / halfLifeMilliseconds);
    }

    private int now() {
        return (int) (clock.millis() - start.toEpochMilli());
    }
}
