package org.bergamothoist.core.route;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Properties that all model engines of a service have in common, as operators configure them.
 *
 * @param cacheTokens capacity in tokens of the memory that running requests and cached prompt parts
 *     share
 * @param bytesPerToken size of one token in that memory, in bytes
 * @param linkMegabitsPerSecond bandwidth of an engine's link for transfers of cached parts, in
 *     Mbit/s
 * @param maximumEventCalls calls for cache events that an engine serves at once, of all daemons
 *     together
 * @param slots requests that an engine runs at once, 0 if it is not stated
 * @param tokensPerEvent tokens in each event of a stream, if stated
 */
public record EngineDefinition(
        long cacheTokens,
        long bytesPerToken,
        double linkMegabitsPerSecond,
        int maximumEventCalls,
        int slots,
        OptionalInt tokensPerEvent) {

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLISECOND = 1_000;

    /**
     * Returns the tokens of requests that an engine can hold, empty if there is no such limit. The
     * engines whose events have a stated size are those that preempt requests, or end, when the
     * requests that they hold exceed their memory; the others keep requests waiting.
     */
    public OptionalLong requestMemoryTokens() {
        return tokensPerEvent.isPresent() ? OptionalLong.of(cacheTokens) : OptionalLong.empty();
    }

    /** Returns the time in milliseconds that an idle link needs to transfer one cached token. */
    public double transferMillisecondsPerToken() {
        return bytesPerToken
                * BITS_PER_BYTE
                / (linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND);
    }
}
