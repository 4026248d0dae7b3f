package org.bergamothoist.core.cache;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.peer.PeerMessage.HotPrefix;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * Knows which block each target's current engine incarnation probably holds. Entries come from
 * dispatches, answers, cache events, snapshots and peers. Confined to the control thread.
 */
public final class CacheIndex {

    /** Entries of one block that a search for holders reads at most, stale ones included. */
    private static final int MAXIMUM_ENTRIES_READ = 64;

    /** Weight of a prefix that a peer calls hot, so that it counts as asked for repeatedly. */
    private static final float IMPORTED_REQUEST_COUNT = 2;

    private static final int OWNER_SLOT_SHIFT = 16;
    private static final int EPOCH_MASK = (1 << (Integer.SIZE - OWNER_SLOT_SHIFT)) - 1;

    /** Above this share of the bound only blocks that were routed here are taken from events. */
    private static final double SELECTIVE_FILL_RATIO = 0.5;

    private final EntryTable entries;
    private final CacheIndexSettings settings;
    private final BlockPopularity popularity;
    private final InvariantMonitor invariants;
    private final Map<TargetId, TargetCacheState> statesByTarget = new HashMap<>();
    private final List<TargetCacheState> statesBySlot = new ArrayList<>();
    private final List<Integer> slotEpochs = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();

    /** Creates an empty index. */
    public CacheIndex(
            CacheIndexSettings settings, InstantSource clock, InvariantMonitor invariants) {
        this.settings = settings;
        this.entries = new EntryTable(settings.maximumEntries());
        this.popularity =
                new BlockPopularity(
                        settings.popularityEntries(), settings.popularityHalfLife(), clock);
        this.invariants = invariants;
    }

    /** Returns how often blocks were asked for lately. */
    public BlockPopularity popularity() {
        return popularity;
    }

    /** Returns the number of entries, stale ones that were not yet removed included. */
    public int size() {
        return entries.size();
    }

    /** Returns the incarnation that the target's entries belong to, if it is confirmed. */
    public Optional<EngineIncarnation> incarnation(TargetId target) {
        TargetCacheState cache = statesByTarget.get(target);
        return cache == null || !cache.confirmed
                ? Optional.empty()
                : Optional.of(cache.incarnation);
    }

    /** Returns the number of leading blocks of the chain that the target is known to hold. */
    public int matchedBlocks(TargetId target, BlockHashChain chain) {
        TargetCacheState cache = statesByTarget.get(target);
        if (cache == null || !cache.confirmed) {
            return 0;
        }
        int matched = 0;
        while (matched < chain.length()
                && entries.find(cache.owner, chain.hash(matched)) != EntryTable.NONE) {
            matched++;
        }
        if (matched > 0) {
            checkIsolation(cache);
        }
        return matched;
    }

    private void checkIsolation(TargetCacheState cache) {
        invariants.check(
                Guarantee.CACHE_ISOLATION,
                cache.incarnation.equals(cache.ownerIncarnation),
                () ->
                        "entries of "
                                + cache.ownerIncarnation
                                + " counted for "
                                + cache.target
                                + ", which runs "
                                + cache.incarnation);
    }

    /**
     * Returns targets that probably hold a prefix of the chain, those with the deepest known block
     * first.
     *
     * @param limit most targets to return
     */
    public Collection<TargetId> holders(BlockHashChain chain, int limit) {
        Set<TargetId> found = new LinkedHashSet<>();
        for (int index = chain.length() - 1; index >= 0 && found.size() < limit; index--) {
            addHolders(chain.hash(index), limit, found);
        }
        return found;
    }

    private void addHolders(long hash, int limit, Set<TargetId> found) {
        int entry = entries.firstWithHash(hash);
        for (int read = 0;
                entry != EntryTable.NONE && read < MAXIMUM_ENTRIES_READ && found.size() < limit;
                read++) {
            int next = entries.nextWithHash(entry);
            TargetCacheState cache = statesBySlot.get(slotOf(entries.owner(entry)));
            if (cache == null || cache.owner != entries.owner(entry)) {
                entries.removeEntry(entry);
            } else if (cache.confirmed) {
                found.add(cache.target);
            }
            entry = next;
        }
    }

    /**
     * Takes evidence of the incarnation that a target runs. Another one than the current drops all
     * entries of the target; one that was replaced earlier is ignored.
     *
     * @return whether the incarnation is the target's current one
     */
    public boolean observeIncarnation(TargetId target, EngineIncarnation incarnation) {
        TargetCacheState cache = statesByTarget.computeIfAbsent(target, this::addTarget);
        if (incarnation.equals(cache.incarnation)) {
            cache.confirmed = true;
            return true;
        }
        if (cache.retiredIncarnations.contains(incarnation)) {
            return false;
        }
        cache.retireIncarnation();
        cache.incarnation = incarnation;
        cache.confirmed = true;
        cache.lastSequence = TargetCacheState.UNKNOWN_SEQUENCE;
        cache.snapshotSequence = TargetCacheState.UNKNOWN_SEQUENCE;
        cache.needsResynchronisation = true;
        assignNewOwner(cache);
        return true;
    }

    /** Takes evidence from a call that began in the given connection epoch of the target. */
    public boolean observeIncarnation(
            TargetId target, EngineIncarnation incarnation, long connectionEpoch) {
        return connectionEpoch(target) == connectionEpoch
                && observeIncarnation(target, incarnation);
    }

    /** Returns a number that grows with each lost connection to the target. */
    public long connectionEpoch(TargetId target) {
        TargetCacheState cache = statesByTarget.get(target);
        return cache == null ? 0 : cache.connectionEpoch;
    }

    /** Hides all entries of the target until its incarnation is confirmed again. */
    public void onConnectionLost(TargetId target) {
        TargetCacheState cache = statesByTarget.computeIfAbsent(target, this::addTarget);
        cache.confirmed = false;
        cache.connectionEpoch++;
    }

    /** Forgets a target that has left. */
    public void removeTarget(TargetId target) {
        TargetCacheState cache = statesByTarget.remove(target);
        if (cache != null) {
            statesBySlot.set(cache.slot, null);
            freeSlots.add(cache.slot);
        }
    }

    /** Counts the chain as asked for and, optimistically, as held by the target from now on. */
    public void onDispatch(TargetId target, BlockHashChain chain) {
        for (int index = 0; index < chain.length(); index++) {
            popularity.addRequests(chain.hash(index), 1);
        }
        TargetCacheState cache = statesByTarget.get(target);
        if (cache != null && cache.confirmed) {
            putChain(cache, chain);
        }
    }

    /**
     * Takes the head of an answer. The engine has just read or computed the whole prompt, so that
     * all of its full blocks are held.
     *
     * @param cachedTokens prompt tokens that the engine took from its cache
     */
    public void onAnswer(
            TargetId target,
            EngineIncarnation incarnation,
            BlockHashChain chain,
            int cachedTokens) {
        if (observeIncarnation(target, incarnation)) {
            putChain(statesByTarget.get(target), chain);
        }
    }

    private void putChain(TargetCacheState cache, BlockHashChain chain) {
        for (int index = chain.length() - 1; index >= 0; index--) {
            entries.put(cache.owner, chain.hash(index));
        }
    }

    /** Returns the sequence number after which to read the target's next cache events. */
    public long lastSequence(TargetId target) {
        TargetCacheState cache = statesByTarget.get(target);
        return cache == null ? 0 : Math.max(0, cache.lastSequence);
    }

    /** Returns whether events of the target were missed, so that a snapshot is needed. */
    public boolean needsResynchronisation(TargetId target) {
        TargetCacheState cache = statesByTarget.get(target);
        return cache == null || cache.needsResynchronisation;
    }

    /** Asks for a snapshot of the target, for example when a report names events not seen. */
    public void requireResynchronisation(TargetId target) {
        statesByTarget.computeIfAbsent(target, this::addTarget).needsResynchronisation = true;
    }

    /**
     * Applies new cache events; old or repeated ones and those of other incarnations are ignored.
     */
    public void onEvents(TargetId target, CacheEventPage page) {
        if (!observeIncarnation(target, page.incarnation())) {
            return;
        }
        TargetCacheState cache = statesByTarget.get(target);
        for (CacheEvent event : page.events()) {
            if (event.sequence() > cache.lastSequence) {
                applyEvent(cache, event);
            }
        }
    }

    private void applyEvent(TargetCacheState cache, CacheEvent event) {
        boolean first = cache.lastSequence == TargetCacheState.UNKNOWN_SEQUENCE;
        long expected = first ? 1 : cache.lastSequence + 1;
        if (event.sequence() > expected) {
            cache.needsResynchronisation = true;
        }
        cache.lastSequence = event.sequence();
        if (event.kind() == CacheEvent.Kind.REMOVED) {
            entries.remove(cache.owner, event.blockHash());
        } else if (shouldStore(event.blockHash())) {
            entries.put(cache.owner, event.blockHash());
        }
    }

    private boolean shouldStore(long hash) {
        return entries.size() < SELECTIVE_FILL_RATIO * settings.maximumEntries()
                || popularity.count(hash) > 0;
    }

    /** Replaces the target's entries by a snapshot, unless it is older than the last one. */
    public void onSnapshot(TargetId target, CacheSnapshot snapshot) {
        if (!observeIncarnation(target, snapshot.incarnation())) {
            return;
        }
        TargetCacheState cache = statesByTarget.get(target);
        if (snapshot.sequence() < cache.snapshotSequence) {
            return;
        }
        assignNewOwner(cache);
        for (Long hash : snapshot.blockHashes()) {
            if (shouldStore(hash)) {
                entries.put(cache.owner, hash);
            }
        }
        // Events after the snapshot that were already applied are read again.
        cache.lastSequence = snapshot.sequence();
        cache.snapshotSequence = snapshot.sequence();
        cache.needsResynchronisation = false;
    }

    /**
     * Returns the most popular blocks and the targets that hold them, for a peer that starts.
     *
     * @param blocks most blocks to name
     */
    public List<HotPrefix> hottestPrefixes(int maximumBlocks) {
        List<Long> hashes = new ArrayList<>();
        popularity.forEachAbove(IMPORTED_REQUEST_COUNT, hashes::add);
        hashes.sort(
                (left, right) -> Double.compare(popularity.count(right), popularity.count(left)));
        Map<TargetCacheState, List<Long>> blocksByTarget = new LinkedHashMap<>();
        for (Long hash : hashes.subList(0, Math.min(maximumBlocks, hashes.size()))) {
            addConfirmedHolders(hash, blocksByTarget);
        }
        List<HotPrefix> prefixes = new ArrayList<>();
        blocksByTarget.forEach(
                (cache, held) ->
                        prefixes.add(new HotPrefix(cache.target, cache.incarnation, held)));
        return prefixes;
    }

    private void addConfirmedHolders(long hash, Map<TargetCacheState, List<Long>> blocksByTarget) {
        int entry = entries.firstWithHash(hash);
        for (int read = 0; entry != EntryTable.NONE && read < MAXIMUM_ENTRIES_READ; read++) {
            TargetCacheState cache = statesBySlot.get(slotOf(entries.owner(entry)));
            if (cache != null && cache.confirmed && cache.owner == entries.owner(entry)) {
                blocksByTarget.computeIfAbsent(cache, key -> new ArrayList<>()).add(hash);
            }
            entry = entries.nextWithHash(entry);
        }
    }

    /**
     * Takes a peer's hot prefixes. A peer's word does not replace an incarnation that is known
     * here.
     */
    public void importHotPrefixes(List<HotPrefix> prefixes) {
        for (HotPrefix prefix : prefixes) {
            TargetCacheState cache =
                    statesByTarget.computeIfAbsent(prefix.target(), this::addTarget);
            if (cache.incarnation == null && cache.connectionEpoch == 0) {
                observeIncarnation(prefix.target(), prefix.incarnation());
            }
            if (cache.isCurrentIncarnation(prefix.incarnation())) {
                importBlocks(cache, prefix.blockHashes());
            }
        }
    }

    private void importBlocks(TargetCacheState cache, List<Long> hashes) {
        for (Long hash : hashes) {
            entries.put(cache.owner, hash);
            if (popularity.count(hash) == 0) {
                popularity.addRequests(hash, IMPORTED_REQUEST_COUNT);
            }
        }
    }

    private TargetCacheState addTarget(TargetId target) {
        int slot =
                freeSlots.isEmpty() ? statesBySlot.size() : freeSlots.remove(freeSlots.size() - 1);
        TargetCacheState cache = new TargetCacheState(target, slot);
        if (slot == statesBySlot.size()) {
            statesBySlot.add(cache);
            slotEpochs.add(0);
        } else {
            statesBySlot.set(slot, cache);
        }
        assignNewOwner(cache);
        return cache;
    }

    /** Gives the target a new owner number; entries of the old one no longer count. */
    private void assignNewOwner(TargetCacheState cache) {
        int epoch = (slotEpochs.get(cache.slot) + 1) & EPOCH_MASK;
        slotEpochs.set(cache.slot, epoch);
        cache.owner = (cache.slot << OWNER_SLOT_SHIFT) | epoch;
        cache.ownerIncarnation = cache.incarnation;
        if (epoch == 0) {
            removeEntriesOfSlot(cache.slot);
        }
    }

    /** Removes stale entries before the slot's owner numbers are used a second time. */
    private void removeEntriesOfSlot(int slot) {
        entries.removeIf(owner -> slotOf(owner) == slot);
    }

    private static int slotOf(int owner) {
        return owner >>> OWNER_SLOT_SHIFT;
    }
}
