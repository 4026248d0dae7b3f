package org.bergamothoist.core.prefix;

/**
 * Figures by which engines are compared, in milliseconds of predicted time to the first token.
 *
 * @param prefillTokensPerMillisecond prompt tokens that an engine reads in a millisecond; from the
 *     users' description of their engines
 * @param running added for each request that runs at the engine; from the same description
 * @param outdatedWeights penalty for an engine whose weights have been outdated for longer than the
 *     users accept: its answers lose a fifth of their value
 * @param newlyOutdated penalty for an engine whose weights became outdated only just
 * @param failure penalty for an engine that fails all its requests
 * @param fetchedToken added for each shared token that an engine fetches from where it is held: its
 *     transfer, and the memory that it takes from other parts
 * @param foreignToken penalty for each shared token that nobody is known to hold, at an engine that
 *     is not the first choice for the prompt's subject: that one may be reading it just now
 * @param otherDataCentre penalty for bytes between data centres
 */
public record EngineCosts(
        double prefillTokensPerMillisecond,
        double runningRequest,
        double outdatedWeights,
        double newlyOutdatedWeights,
        double allRequestsFailing,
        double fetchedToken,
        double nonPreferredToken,
        double crossDataCentre) {

    /** The figures of the first users' engines. */
    public static final EngineCosts STANDARD =
            new EngineCosts(74.8, 0.8, 160, 20, 2_000, 0.008, 0.05, 3);
}
