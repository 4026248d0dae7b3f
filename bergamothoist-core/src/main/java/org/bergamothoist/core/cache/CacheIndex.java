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
 * Index of the blocks that the current engine incarnation of each target probably has in its cache.
 * Entries come from dispatches, answers, cache events, snapshots and peers. Confined to the control
 * thread.
 */
public final class CacheIndex {

    /**
     * Maximum number of entries, including stale ones, that a search for the holders of a block
     * reads.
     */
    private static final int MAXIMUM_ENTRIES_READ = 64;

    /**
     * Request count given to blocks that a peer reports as hot, so that they count as requested
     * repeatedly.
     */
    private static final float IMPORTED_REQUEST_COUNT = 2;

    /** An owner number has the target's slot above this bit and the slot's epoch below. */
    private static final int OWNER_SLOT_SHIFT = 16;

    private static final int EPOCH_MASK = (1 << (Integer.SIZE - OWNER_SLOT_SHIFT)) - 1;

    /**
     * Fill ratio of the entry table from which only blocks with recent requests are taken from
     * events and snapshots.
     */
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

    /** Returns the recent request counts of blocks. */
    public BlockPopularity popularity() {
        return popularity;
    }

    /** Returns the number of entries, including stale ones that are not yet removed. */
    public int size() {
        return entries.size();
    }

    /**
     * Returns the incarnation that the target's entries belong to, or empty if it is not confirmed.
     */
    public Optional<EngineIncarnation> incarnation(TargetId target) {
        TargetCacheState state = statesByTarget.get(target);
        return state == null || !state.confirmed
                ? Optional.empty()
                : Optional.of(state.incarnation);
    }

    /**
     * Returns the number of consecutive leading blocks of the chain that the target probably holds.
     */
    public int matchedBlocks(TargetId target, BlockHashChain chain) {
        TargetCacheState state = statesByTarget.get(target);
        if (state == null || !state.confirmed) {
            return 0;
        }
        int matched = 0;
        while (matched < chain.length()
                && entries.find(state.owner, chain.hash(matched)) != EntryTable.NONE) {
            matched++;
        }
        if (matched > 0) {
            checkIsolation(state);
        }
        return matched;
    }

    private void checkIsolation(TargetCacheState state) {
        invariants.check(
                Guarantee.CACHE_ISOLATION,
                state.incarnation.equals(state.ownerIncarnation),
                () ->
                        "entries of "
                                + state.ownerIncarnation
                                + " counted for "
                                + state.target
                                + ", which runs "
                                + state.incarnation);
    }

    /**
     * Returns targets that probably hold a prefix of the chain, ordered by their deepest known
     * block, deepest first.
     *
     * @param limit maximum number of targets to return
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
            TargetCacheState state = statesBySlot.get(slotOf(entries.owner(entry)));
            if (state == null || state.owner != entries.owner(entry)) {
                entries.removeEntry(entry);
            } else if (state.confirmed) {
                found.add(state.target);
            }
            entry = next;
        }
    }

    /**
     * Records an observation of the incarnation that a target runs. A new incarnation invalidates
     * all entries of the target; one that was replaced earlier is ignored.
     *
     * @return whether the incarnation is the target's current one
     */
    public boolean observeIncarnation(TargetId target, EngineIncarnation incarnation) {
        TargetCacheState state = statesByTarget.computeIfAbsent(target, this::addTarget);
        if (incarnation.equals(state.incarnation)) {
            state.confirmed = true;
            return true;
        }
        if (state.retiredIncarnations.contains(incarnation)) {
            return false;
        }
        state.retireIncarnation();
        state.incarnation = incarnation;
        state.confirmed = true;
        state.lastSequence = TargetCacheState.UNKNOWN_SEQUENCE;
        state.snapshotSequence = TargetCacheState.UNKNOWN_SEQUENCE;
        state.needsResynchronisation = true;
        assignNewOwner(state);
        return true;
    }

    /**
     * Records an observation from a call that started in the given connection epoch; ignored if the
     * connection was lost since.
     */
    public boolean observeIncarnation(
            TargetId target, EngineIncarnation incarnation, long connectionEpoch) {
        return connectionEpoch(target) == connectionEpoch
                && observeIncarnation(target, incarnation);
    }

    /** Returns the target's connection epoch, which increases with each lost connection. */
    public long connectionEpoch(TargetId target) {
        TargetCacheState state = statesByTarget.get(target);
        return state == null ? 0 : state.connectionEpoch;
    }

    /** Ignores all entries of the target until its incarnation is confirmed again. */
    public void onConnectionLost(TargetId target) {
        TargetCacheState state = statesByTarget.computeIfAbsent(target, this::addTarget);
        state.confirmed = false;
        state.connectionEpoch++;
    }

    /** Removes a target that has left. */
    public void removeTarget(TargetId target) {
        TargetCacheState state = statesByTarget.remove(target);
        if (state != null) {
            statesBySlot.set(state.slot, null);
            freeSlots.add(state.slot);
        }
    }

    /**
     * Counts a request for each block of the chain and adds the blocks to the target's entries
     * before the engine has computed them.
     */
    public void onDispatch(TargetId target, BlockHashChain chain) {
        for (int index = 0; index < chain.length(); index++) {
            popularity.addRequests(chain.hash(index), 1);
        }
        TargetCacheState state = statesByTarget.get(target);
        if (state != null && state.confirmed) {
            putChain(state, chain);
        }
    }

    /**
     * Records the start of an answer. The engine has just loaded or computed the whole prompt, so
     * all full blocks of it are in its cache.
     *
     * @param cachedTokens prompt tokens that the engine had in its cache; not used here, since all
     *     blocks are cached afterwards
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

    private void putChain(TargetCacheState state, BlockHashChain chain) {
        for (int index = chain.length() - 1; index >= 0; index--) {
            entries.put(state.owner, chain.hash(index));
        }
    }

    /** Returns the sequence number of the target's last applied cache event, 0 if there is none. */
    public long lastSequence(TargetId target) {
        TargetCacheState state = statesByTarget.get(target);
        return state == null ? 0 : Math.max(0, state.lastSequence);
    }

    /**
     * Returns whether a snapshot is needed because events of the target were or may have been
     * missed.
     */
    public boolean needsResynchronisation(TargetId target) {
        TargetCacheState state = statesByTarget.get(target);
        return state == null || state.needsResynchronisation;
    }

    /**
     * Marks the target as in need of a snapshot, for example when its report mentions events that
     * were not received.
     */
    public void requireResynchronisation(TargetId target) {
        statesByTarget.computeIfAbsent(target, this::addTarget).needsResynchronisation = true;
    }

    /**
     * Applies new cache events. Old and duplicate events and those of replaced incarnations are
     * ignored.
     */
    public void onEvents(TargetId target, CacheEventPage page) {
        if (!observeIncarnation(target, page.incarnation())) {
            return;
        }
        TargetCacheState state = statesByTarget.get(target);
        for (CacheEvent event : page.events()) {
            if (event.sequence() > state.lastSequence) {
                applyEvent(state, event);
            }
        }
    }

    private void applyEvent(TargetCacheState state, CacheEvent event) {
        boolean first = state.lastSequence == TargetCacheState.UNKNOWN_SEQUENCE;
        long expected = first ? 1 : state.lastSequence + 1;
        if (event.sequence() > expected) {
            state.needsResynchronisation = true;
        }
        state.lastSequence = event.sequence();
        if (event.kind() == CacheEvent.Kind.REMOVED) {
            entries.remove(state.owner, event.blockHash());
        } else if (shouldStore(event.blockHash())) {
            entries.put(state.owner, event.blockHash());
        }
    }

    private boolean shouldStore(long hash) {
        return entries.size() < SELECTIVE_FILL_RATIO * settings.maximumEntries()
                || popularity.count(hash) > 0;
    }

    /**
     * Replaces the target's entries by those of a snapshot, unless it is older than the last one.
     */
    public void onSnapshot(TargetId target, CacheSnapshot snapshot) {
        if (!observeIncarnation(target, snapshot.incarnation())) {
            return;
        }
        TargetCacheState state = statesByTarget.get(target);
        if (snapshot.sequence() < state.snapshotSequence) {
            return;
        }
        assignNewOwner(state);
        for (Long hash : snapshot.blockHashes()) {
            if (shouldStore(hash)) {
                entries.put(state.owner, hash);
            }
        }
        // Events newer than the snapshot must be read and applied again.
        state.lastSequence = snapshot.sequence();
        state.snapshotSequence = snapshot.sequence();
        state.needsResynchronisation = false;
    }

    /**
     * Returns the most popular blocks and the targets that hold them, for a starting peer.
     *
     * @param maximumBlocks maximum number of blocks to return
     */
    public List<HotPrefix> hottestPrefixes(int maximumBlocks) {
        List<Long> hashes = new ArrayList<>();
        popularity.forEachWithCount(IMPORTED_REQUEST_COUNT, hashes::add);
        hashes.sort(
                (left, right) -> Double.compare(popularity.count(right), popularity.count(left)));
        Map<TargetCacheState, List<Long>> blocksByTarget = new LinkedHashMap<>();
        for (Long hash : hashes.subList(0, Math.min(maximumBlocks, hashes.size()))) {
            addConfirmedHolders(hash, blocksByTarget);
        }
        List<HotPrefix> prefixes = new ArrayList<>();
        blocksByTarget.forEach(
                (state, hashesHeld) ->
                        prefixes.add(new HotPrefix(state.target, state.incarnation, hashesHeld)));
        return prefixes;
    }

    private void addConfirmedHolders(long hash, Map<TargetCacheState, List<Long>> blocksByTarget) {
        int entry = entries.firstWithHash(hash);
        for (int read = 0; entry != EntryTable.NONE && read < MAXIMUM_ENTRIES_READ; read++) {
            TargetCacheState state = statesBySlot.get(slotOf(entries.owner(entry)));
            if (state != null && state.confirmed && state.owner == entries.owner(entry)) {
                blocksByTarget.computeIfAbsent(state, key -> new ArrayList<>()).add(hash);
            }
            entry = entries.nextWithHash(entry);
        }
    }

    /**
     * Adds the hot prefixes that a peer reports. A peer's report never replaces an incarnation that
     * is known here.
     */
    public void importHotPrefixes(List<HotPrefix> prefixes) {
        for (HotPrefix prefix : prefixes) {
            TargetCacheState state =
                    statesByTarget.computeIfAbsent(prefix.target(), this::addTarget);
            if (state.incarnation == null && state.connectionEpoch == 0) {
                observeIncarnation(prefix.target(), prefix.incarnation());
            }
            if (state.isCurrentIncarnation(prefix.incarnation())) {
                importBlocks(state, prefix.blockHashes());
            }
        }
    }

    private void importBlocks(TargetCacheState state, List<Long> hashes) {
        for (Long hash : hashes) {
            entries.put(state.owner, hash);
            if (popularity.count(hash) == 0) {
                popularity.addRequests(hash, IMPORTED_REQUEST_COUNT);
            }
        }
    }

    private TargetCacheState addTarget(TargetId target) {
        int slot =
                freeSlots.isEmpty() ? statesBySlot.size() : freeSlots.remove(freeSlots.size() - 1);
        TargetCacheState state = new TargetCacheState(target, slot);
        if (slot == statesBySlot.size()) {
            statesBySlot.add(state);
            slotEpochs.add(0);
        } else {
            statesBySlot.set(slot, state);
        }
        assignNewOwner(state);
        return state;
    }

    /** Gives the target a new owner number, which makes all its existing entries stale. */
    private void assignNewOwner(TargetCacheState state) {
        int epoch = (slotEpochs.get(state.slot) + 1) & EPOCH_MASK;
        slotEpochs.set(state.slot, epoch);
        state.owner = (state.slot << OWNER_SLOT_SHIFT) | epoch;
        state.ownerIncarnation = state.incarnation;
        if (epoch == 0) {
            removeEntriesOfSlot(state.slot);
        }
    }

    /** Removes the slot's entries when its owner numbers wrap around and are reused. */
    private void removeEntriesOfSlot(int slot) {
        entries.removeIf(owner -> slotOf(owner) == slot);
    }

    private static int slotOf(int owner) {
        return owner >>> OWNER_SLOT_SHIFT;
    }
}
