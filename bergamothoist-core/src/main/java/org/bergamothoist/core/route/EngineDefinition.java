package org.bergamothoist.core.route;

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
 */
public record EngineDefinition(
        long cacheTokens, long bytesPerToken, double linkMegabitsPerSecond, int maximumEventCalls) {

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLISECOND = 1_000;

    /** Returns the time in milliseconds that an idle link needs to transfer one cached token. */
    public double transferMillisecondsPerToken() {
        return bytesPerToken
                * BITS_PER_BYTE
                / (linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND);
    }
}
