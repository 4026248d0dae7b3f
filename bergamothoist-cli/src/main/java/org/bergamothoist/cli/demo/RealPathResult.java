package org.bergamothoist.cli.demo;

/**
 * Figures of the path from caller to engine over HTTP on loopback. Processor time is that of the
 * whole process: daemons, stand-ins and callers.
 *
 * @param directFirstToken times from caller to engine without a daemon
 * @param routedFirstToken times with a daemon between them
 * @param directGap times between tokens without a daemon
 * @param routedGap times between tokens with a daemon
 * @param requestsPerCoreSecond requests for each second of processor time
 * @param tokensPerCoreSecond tokens for each second of processor time
 * @param restartMilliseconds time from the start of a killed daemon to its first answer
 * @param hitRateAfterRestart hit rate of the requests after the restart, through that daemon
 * @param hitRateUndisturbed hit rate of the same number of requests through another daemon
 */
public record RealPathResult(
        Percentiles directFirstToken,
        Percentiles routedFirstToken,
        Percentiles directGap,
        Percentiles routedGap,
        double requestsPerSecond,
        double tokensPerSecond,
        double requestsPerCoreSecond,
        double tokensPerCoreSecond,
        long restartMilliseconds,
        double hitRateAfterRestart,
        double hitRateUndisturbed) {

    /** Percentiles in milliseconds. */
    public record Percentiles(double p50, double p95, double p99) {}
}
