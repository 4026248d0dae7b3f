package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * The contents of the KV cache store as known from its events, and its reachability. Confined to
 * the control thread.
 *
 * <p>Engines must not fetch from a store that does not answer, since they would wait for it until a
 * timeout.
 */
public final class CacheStoreView {

    /** Time since the last answer after which the store counts as unreachable. */
    private static final Duration REACHABILITY_TIMEOUT = Duration.ofMillis(1_800);

    private static final long UNKNOWN_EPOCH = -1;

    private final CachedPartIndex cachedParts;
    private final InstantSource clock;
    private Instant lastAnswerAt = Instant.EPOCH;
    private String address = "";
    private long epoch = UNKNOWN_EPOCH;

    /**
     * Creates a view without a known store.
     *
     * @param cachedParts index to which the contents of the store are added, with its address as
     *     the holder
     */
    public CacheStoreView(CachedPartIndex cachedParts, InstantSource clock) {
        this.cachedParts = cachedParts;
        this.clock = clock;
    }

    /**
     * Applies an answer of the store with its events. A new address or epoch clears what was known
     * before.
     *
     * @param storeEpoch epoch of the store, which changes with each restart
     * @param capacityTokens maximum number of tokens that the store holds
     */
    public void applyEvents(
            String storeAddress,
            long storeEpoch,
            List<CachedPartEvent> events,
            long capacityTokens) {
        if (!address.equals(storeAddress) || epoch != storeEpoch) {
            cachedParts.removeHolder(address);
            address = storeAddress;
            epoch = storeEpoch;
        }
        lastAnswerAt = clock.instant();
        for (CachedPartEvent event : events) {
            if (event.stored() && event.tokens() >= event.part().tokens()) {
                cachedParts.add(address, event.scope(), List.of(event.part()), capacityTokens);
            } else {
                cachedParts.remove(address, event.scope().key(), event.part().id());
            }
        }
    }

    /** Records that the store has answered another daemon. */
    public void markReachable(String storeAddress) {
        if (!address.equals(storeAddress)) {
            cachedParts.removeHolder(address);
            address = storeAddress;
            epoch = UNKNOWN_EPOCH;
        }
        lastAnswerAt = clock.instant();
    }

    /** Marks the store as unreachable until its next answer. */
    public void markUnreachable() {
        lastAnswerAt = Instant.EPOCH;
    }

    /** Returns whether the address is that of the store and the store has answered recently. */
    public boolean isReachable(String storeAddress) {
        return address.equals(storeAddress)
                && !clock.instant().isAfter(lastAnswerAt.plus(REACHABILITY_TIMEOUT));
    }

    /** Returns whether the store holds all shared parts of the prompt in the scope. */
    public boolean holdsSharedParts(CacheScope scope, PartitionedPrompt prompt) {
        return cachedParts.cachedPrefixTokens(address, scope, prompt.sharedParts())
                == prompt.sharedTokens();
    }
}
