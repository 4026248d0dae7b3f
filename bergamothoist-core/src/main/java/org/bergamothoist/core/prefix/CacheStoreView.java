package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;

/**
 * What the store of KV cache holds, by its events. Confined to the control thread.
 *
 * <p>A store that does not answer is left alone: an engine that fetches from it waits in vain.
 */
public final class CacheStoreView {

    /** Age of the last answer up to which the store counts as reachable. */
    private static final Duration REACHABILITY_TIMEOUT = Duration.ofMillis(1_800);

    private final CachedPartIndex cachedParts;
    private final InstantSource clock;
    private Instant lastAnswerAt = Instant.EPOCH;
    private String address = "";
    private long epoch = -1;

    /**
     * Creates a view of a store that has not answered yet.
     *
     * @param parts gets what the store holds, under its address
     */
    public CacheStoreView(CachedPartIndex cachedParts, InstantSource clock) {
        this.cachedParts = cachedParts;
        this.clock = clock;
    }

    /**
     * Takes events over.
     *
     * @param runEpoch differs for each run of the store
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

    /** Notes that the store did not answer. */
    public void markUnreachable() {
        lastAnswerAt = Instant.EPOCH;
    }

    /** Returns whether the store answered lately. */
    public boolean isReachable(String storeAddress) {
        return address.equals(storeAddress)
                && !clock.instant().isAfter(lastAnswerAt.plus(REACHABILITY_TIMEOUT));
    }

    /** Returns whether the store holds all shared parts of a prompt. */
    public boolean holdsSharedParts(CacheScope scope, PartitionedPrompt prompt) {
        return cachedParts.cachedPrefixTokens(address, scope, prompt.sharedParts())
                == prompt.sharedTokens();
    }
}
