package org.bergamothoist.core.cache;

import java.util.Arrays;
import java.util.function.IntPredicate;

/**
 * A bounded set of (owner, block hash) entries in primitive arrays, with least recently used
 * eviction. One hash table finds an entry by owner and hash, a second one lists the entries of a
 * block, so that the owners of a block are found without a scan.
 */
final class EntryTable {

    static final int NONE = -1;

    private static final int INITIAL_CAPACITY = 1 << 10;

    private final int maximumEntries;
    private long[] hashes;
    private int[] owners;

    /** The next more recently used entry of each entry. */
    private int[] newer;

    /** The next less recently used entry of each entry. */
    private int[] older;

    /** The next entry in the same bucket of the table by owner and hash. */
    private int[] nextByKey;

    /** The next entry in the same bucket of the table by hash, or the next free entry. */
    private int[] nextByHash;

    /** The previous entry in the same bucket of the table by hash. */
    private int[] previousByHash;

    private int[] keyBuckets;
    private int[] hashBuckets;
    private int allocatedEntries;
    private int freeHead = NONE;
    private int newest = NONE;
    private int oldest = NONE;
    private int size;

    EntryTable(int maximumEntries) {
        this.maximumEntries = maximumEntries;
        allocateArrays(Math.min(INITIAL_CAPACITY, maximumEntries));
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

    /** Returns the entry of the owner and the hash, or {@link #NONE}. */
    int find(int owner, long hash) {
        int entry = keyBuckets[keyBucket(owner, hash)];
        while (entry != NONE && (hashes[entry] != hash || owners[entry] != owner)) {
            entry = nextByKey[entry];
        }
        return entry;
    }

    /** Adds the entry, or marks the existing one as the most recently used. */
    void put(int owner, long hash) {
        int entry = find(owner, hash);
        if (entry != NONE) {
            markMostRecentlyUsed(entry);
            return;
        }
        entry = allocateEntry();
        hashes[entry] = hash;
        owners[entry] = owner;
        linkByKey(entry);
        linkByHash(entry);
        linkAsNewest(entry);
        size++;
    }

    void remove(int owner, long hash) {
        int entry = find(owner, hash);
        if (entry != NONE) {
            removeEntry(entry);
        }
    }

    /** Returns the first entry with the hash, or {@link #NONE}. */
    int firstWithHash(long hash) {
        return findWithHash(hashBuckets[hashBucket(hash)], hash);
    }

    /** Returns the next entry with the same hash, or {@link #NONE}. */
    int nextWithHash(int entry) {
        return findWithHash(nextByHash[entry], hashes[entry]);
    }

    private int findWithHash(int start, long hash) {
        int entry = start;
        while (entry != NONE && hashes[entry] != hash) {
            entry = nextByHash[entry];
        }
        return entry;
    }

    void removeEntry(int entry) {
        unlinkByKey(entry);
        unlinkByHash(entry);
        unlinkRecency(entry);
        nextByHash[entry] = freeHead;
        freeHead = entry;
        size--;
    }

    /** Removes all entries whose owner matches. Scans the whole table. */
    void removeIf(IntPredicate ownerMatches) {
        int entry = newest;
        while (entry != NONE) {
            int next = older[entry];
            if (ownerMatches.test(owners[entry])) {
                removeEntry(entry);
            }
            entry = next;
        }
    }

    private void markMostRecentlyUsed(int entry) {
        if (entry != newest) {
            unlinkRecency(entry);
            linkAsNewest(entry);
        }
    }

    private int allocateEntry() {
        if (freeHead == NONE && allocatedEntries == hashes.length) {
            growOrEvict();
        }
        if (freeHead == NONE) {
            return allocatedEntries++;
        }
        int entry = freeHead;
        freeHead = nextByHash[entry];
        return entry;
    }

    private void growOrEvict() {
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
        nextByKey = Arrays.copyOf(nextByKey, capacity);
        nextByHash = Arrays.copyOf(nextByHash, capacity);
        previousByHash = Arrays.copyOf(previousByHash, capacity);
        allocateBuckets(capacity);
        for (int entry = oldest; entry != NONE; entry = newer[entry]) {
            linkByKey(entry);
            linkByHash(entry);
        }
    }

    private void allocateArrays(int capacity) {
        hashes = new long[capacity];
        owners = new int[capacity];
        newer = new int[capacity];
        older = new int[capacity];
        nextByKey = new int[capacity];
        nextByHash = new int[capacity];
        previousByHash = new int[capacity];
        allocateBuckets(capacity);
    }

    private void allocateBuckets(int capacity) {
        int buckets = Integer.highestOneBit(Math.max(2, capacity) - 1) << 1;
        keyBuckets = new int[buckets];
        hashBuckets = new int[buckets];
        Arrays.fill(keyBuckets, NONE);
        Arrays.fill(hashBuckets, NONE);
    }

    private int keyBucket(int owner, long hash) {
        long mixed = (hash ^ (owner * 0x9e3779b97f4a7c15L)) * 0xd6e8feb86659fd93L;
        return (int) (mixed >>> 32) & (keyBuckets.length - 1);
    }

    private int hashBucket(long hash) {
        return (int) (hash ^ (hash >>> 32)) & (hashBuckets.length - 1);
    }

    private void linkByKey(int entry) {
        int bucket = keyBucket(owners[entry], hashes[entry]);
        nextByKey[entry] = keyBuckets[bucket];
        keyBuckets[bucket] = entry;
    }

    private void unlinkByKey(int entry) {
        int bucket = keyBucket(owners[entry], hashes[entry]);
        if (keyBuckets[bucket] == entry) {
            keyBuckets[bucket] = nextByKey[entry];
            return;
        }
        int previous = keyBuckets[bucket];
        while (nextByKey[previous] != entry) {
            previous = nextByKey[previous];
        }
        nextByKey[previous] = nextByKey[entry];
    }

    private void linkByHash(int entry) {
        int bucket = hashBucket(hashes[entry]);
        int head = hashBuckets[bucket];
        nextByHash[entry] = head;
        previousByHash[entry] = NONE;
        if (head != NONE) {
            previousByHash[head] = entry;
        }
        hashBuckets[bucket] = entry;
    }

    private void unlinkByHash(int entry) {
        int previous = previousByHash[entry];
        int next = nextByHash[entry];
        if (previous == NONE) {
            hashBuckets[hashBucket(hashes[entry])] = next;
        } else {
            nextByHash[previous] = next;
        }
        if (next != NONE) {
            previousByHash[next] = previous;
        }
    }

    private void linkAsNewest(int entry) {
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
        int newerEntry = newer[entry];
        int olderEntry = older[entry];
        if (newerEntry == NONE) {
            newest = olderEntry;
        } else {
            older[newerEntry] = olderEntry;
        }
        if (olderEntry == NONE) {
            oldest = newerEntry;
        } else {
            newer[olderEntry] = newerEntry;
        }
    }
}
