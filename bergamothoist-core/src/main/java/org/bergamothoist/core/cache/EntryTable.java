package org.bergamothoist.core.cache;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * A bounded set of (owner, block hash) entries in primitive arrays, evicted in least recently used
 * order. Entries of one block form a list, so that a block's owners are found without a scan.
 */
final class EntryTable {

    static final int NONE = -1;

    private static final int INITIAL_CAPACITY = 1 << 10;

    private final int maximumEntries;
    private long[] hashes;
    private int[] owners;
    private int[] newer;
    private int[] older;
    private int[] nextExact;
    private int[] nextSame;
    private int[] previousSame;
    private int[] exactHeads;
    private int[] sameHeads;
    private int used;
    private int freeHead = NONE;
    private int newest = NONE;
    private int oldest = NONE;
    private int size;

    EntryTable(int maximumEntries) {
        this.maximumEntries = maximumEntries;
        allocate(Math.min(INITIAL_CAPACITY, maximumEntries));
    }

    int size() {
        return size;
    }

    int capacity() {
        return hashes.length;
    }

    long hash(int entry) {
        return hashes[entry];
    }

    int owner(int entry) {
        return owners[entry];
    }

    /** Returns the entry, or {@link #NONE}. */
    int find(int owner, long hash) {
        int entry = exactHeads[exactBucket(owner, hash)];
        while (entry != NONE && (hashes[entry] != hash || owners[entry] != owner)) {
            entry = nextExact[entry];
        }
        return entry;
    }

    /** Adds the entry or makes it the most recently used one. */
    void put(int owner, long hash) {
        int entry = find(owner, hash);
        if (entry != NONE) {
            touch(entry);
            return;
        }
        entry = takeFree();
        hashes[entry] = hash;
        owners[entry] = owner;
        linkExact(entry);
        linkSame(entry);
        linkNewest(entry);
        size++;
    }

    void remove(int owner, long hash) {
        int entry = find(owner, hash);
        if (entry != NONE) {
            removeEntry(entry);
        }
    }

    /** Returns the first entry of the block's list, or {@link #NONE}. */
    int firstOf(long hash) {
        return matching(sameHeads[sameBucket(hash)], hash);
    }

    /** Returns the entry after this one in the list of its block, or {@link #NONE}. */
    int nextOf(int entry) {
        return matching(nextSame[entry], hashes[entry]);
    }

    private int matching(int start, long hash) {
        int entry = start;
        while (entry != NONE && hashes[entry] != hash) {
            entry = nextSame[entry];
        }
        return entry;
    }

    void removeEntry(int entry) {
        unlinkExact(entry);
        unlinkSame(entry);
        unlinkRecency(entry);
        nextSame[entry] = freeHead;
        freeHead = entry;
        size--;
    }

    /** Removes all entries whose owner matches; scans the whole table. */
    void removeIf(IntPredicate ownerMatches) {
        int entry = newest;
        while (entry != NONE) {
            int following = older[entry];
            if (ownerMatches.test(owners[entry])) {
                removeEntry(entry);
            }
            entry = following;
        }
    }

    private void touch(int entry) {
        if (entry != newest) {
            unlinkRecency(entry);
            linkNewest(entry);
        }
    }

    private int takeFree() {
        if (freeHead == NONE && used == hashes.length) {
            makeRoom();
        }
        if (freeHead == NONE) {
            return used++;
        }
        int entry = freeHead;
        freeHead = nextSame[entry];
        return entry;
    }

    private void makeRoom() {
        if (hashes.length < maximumEntries) {
            grow();
            return;
        }
        removeEntry(oldest);
    }

    private void grow() {
        int capacity = (int) Math.min(maximumEntries, 2L * hashes.length);
        hashes = Arrays.copyOf(hashes, capacity);
        owners = Arrays.copyOf(owners, capacity);
        newer = Arrays.copyOf(newer, capacity);
        older = Arrays.copyOf(older, capacity);
        nextExact = Arrays.copyOf(nextExact, capacity);
        nextSame = Arrays.copyOf(nextSame, capacity);
        previousSame = Arrays.copyOf(previousSame, capacity);
        allocateHeads(capacity);
        for (int entry = oldest; entry != NONE; entry = newer[entry]) {
            linkExact(entry);
            linkSame(entry);
        }
    }

    private void allocate(int capacity) {
        hashes = new long[capacity];
        owners = new int[capacity];
        newer = new int[capacity];
        older = new int[capacity];
        nextExact = new int[capacity];
        nextSame = new int[capacity];
        previousSame = new int[capacity];
        allocateHeads(capacity);
    }

    private void allocateHeads(int capacity) {
        int heads = Integer.highestOneBit(Math.max(2, capacity) - 1) << 1;
        exactHeads = new int[heads];
        sameHeads = new int[heads];
        Arrays.fill(exactHeads, NONE);
        Arrays.fill(sameHeads, NONE);
    }

    private int exactBucket(int owner, long hash) {
        long mixed = (hash ^ (owner * 0x9e3779b97f4a7c15L)) * 0xd6e8feb86659fd93L;
        return (int) (mixed >>> 32) & (exactHeads.length - 1);
    }

    private int sameBucket(long hash) {
        return (int) (hash ^ (hash >>> 32)) & (sameHeads.length - 1);
    }

    private void linkExact(int entry) {
        int bucket = exactBucket(owners[entry], hashes[entry]);
        nextExact[entry] = exactHeads[bucket];
        exactHeads[bucket] = entry;
    }

    private void unlinkExact(int entry) {
        int bucket = exactBucket(owners[entry], hashes[entry]);
        if (exactHeads[bucket] == entry) {
            exactHeads[bucket] = nextExact[entry];
            return;
        }
        int before = exactHeads[bucket];
        while (nextExact[before] != entry) {
            before = nextExact[before];
        }
        nextExact[before] = nextExact[entry];
    }

    private void linkSame(int entry) {
        int bucket = sameBucket(hashes[entry]);
        int head = sameHeads[bucket];
        nextSame[entry] = head;
        previousSame[entry] = NONE;
        if (head != NONE) {
            previousSame[head] = entry;
        }
        sameHeads[bucket] = entry;
    }

    private void unlinkSame(int entry) {
        int before = previousSame[entry];
        int after = nextSame[entry];
        if (before == NONE) {
            sameHeads[sameBucket(hashes[entry])] = after;
        } else {
            nextSame[before] = after;
        }
        if (after != NONE) {
            previousSame[after] = before;
        }
    }

    private void linkNewest(int entry) {
        newer[entry] = NONE;
        older[entry] = newest;
        if (newest != NONE) {
            newer[newest] = entry;
        }
        newest = entry;
        if (oldest == NONE) {
            oldest = entry;
        }
    }

    private void unlinkRecency(int entry) {
        int after = newer[entry];
        int before = older[entry];
        if (after == NONE) {
            newest = before;
        } else {
            older[after] = before;
        }
        if (before == NONE) {
            oldest = after;
        } else {
            newer[before] = after;
        }
    }
}
