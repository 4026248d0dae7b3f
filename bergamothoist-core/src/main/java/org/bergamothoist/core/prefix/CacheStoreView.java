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
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(1_800);

    private final HeldParts parts;
    private final InstantSource clock;
    private Instant answeredAt = Instant.EPOCH;
    private String address = "";
    private long epoch = -1;

    /**
     * Creates a view of a store that has not answered yet.
     *
     * @param parts gets what the store holds, under its address
     */
    public CacheStoreView(HeldParts parts, InstantSource clock) {
        this.parts = parts;
        this.clock = clock;
    }

    /**
     * Takes events over.
     *
     * @param runEpoch differs for each run of the store
     */
    public void accept(
            String storeAddress, long runEpoch, List<CacheEvent> events, long capacityTokens) {
        if (!address.equals(storeAddress) || epoch != runEpoch) {
            parts.forget(address);
            address = storeAddress;
            epoch = runEpoch;
        }
        answeredAt = clock.instant();
        for (CacheEvent event : events) {
            if (event.held() && event.tokens() >= event.part().tokens()) {
                parts.add(address, event.scope(), List.of(event.part()), capacityTokens);
            } else {
                parts.remove(address, event.scope().key(), event.part().id());
            }
        }
    }

    /** Notes that the store did not answer. */
    public void lost() {
        answeredAt = Instant.EPOCH;
    }

    /** Returns whether the store answered lately. */
    public boolean isReachable(String storeAddress) {
        return address.equals(storeAddress)
                && !clock.instant().isAfter(answeredAt.plus(LONGEST_SILENCE));
    }

    /** Returns whether the store holds all shared parts of a prompt. */
    public boolean holds(CacheScope scope, NamedPrompt prompt) {
        return parts.leadingTokens(address, scope, prompt.sharedParts()) == prompt.sharedTokens();
    }
}
