package org.bergamothoist.core.prefix;

/**
 * Cost coefficients by which engines are compared. Costs are in milliseconds of predicted time to
 * the first token.
 *
 * @param prefillTokensPerMillisecond prompt tokens that an engine computes per millisecond
 * @param runningRequest cost of each request that runs at the engine
 * @param outdatedWeights penalty for an engine whose weights have been outdated for longer than the
 *     grace period; its answers lose a fifth of their value to the users
 * @param newlyOutdatedWeights penalty for an engine whose weights became outdated within the grace
 *     period
 * @param allRequestsFailing penalty for an engine at which all requests fail; scaled by the failure
 *     rate
 * @param fetchedToken cost of each shared token that an engine fetches from another holder, beside
 *     its transfer: the cache memory that it takes from other parts
 * @param nonPreferredToken penalty for each shared token that no holder is known to have cached, at
 *     an engine other than the preferred one, which may be computing it already
 * @param crossDataCentre penalty for an engine in another data centre while nothing is known of
 *     loads and latency
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

    /** Coefficients for the engines of the initial deployment. */
    public static final EngineCosts STANDARD =
            new EngineCosts(74.8, 0.8, 160, 20, 2_000, 0.006, 0.05, 3);
}
