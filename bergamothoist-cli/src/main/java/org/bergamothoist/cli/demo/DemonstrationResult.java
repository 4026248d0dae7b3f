package org.bergamothoist.cli.demo;

import java.util.List;
import java.util.Map;
import org.bergamothoist.standin.client.OutcomeKind;

/**
 * What a demonstration measured.
 *
 * @param hitRate share of prompt tokens that came from an engine's cache
 * @param wastedTokens tokens computed although a live engine held them, or thrown away
 * @param outcomes number of requests by final outcome
 * @param codes number of the router's answers by code, including those after which callers tried
 *     again
 * @param resumedStreams streams that callers resumed after a lost connection
 * @param sheetInForceMilliseconds time from the submission of the first sheet until it was in force
 * @param restartMilliseconds time from the start of the killed daemon to the first request that it
 *     answered
 * @param refusedSheet difference of the refused sheet to the organisations in force
 * @param brokenPromises must be empty
 */
public record DemonstrationResult(
        String deployment,
        long seed,
        int requests,
        int skipped,
        int mostConcurrent,
        double hitRate,
        TimeToFirstToken timeToFirstToken,
        long wastedTokens,
        Map<OutcomeKind, Integer> outcomes,
        Map<String, Integer> codes,
        int resumedStreams,
        long sheetInForceMilliseconds,
        long restartMilliseconds,
        String refusedSheet,
        List<BrokenPromise> brokenPromises) {

    public DemonstrationResult {
        brokenPromises = List.copyOf(brokenPromises);
    }

    /** Percentiles of the time to first token, in milliseconds. */
    public record TimeToFirstToken(double p50, double p95, double p99) {}

    /**
     * A promise that was broken.
     *
     * @param promise kind of the violation or name of the guarantee
     * @param subject request or daemon concerned
     * @param events events of all daemons about the subject, in causal order
     */
    public record BrokenPromise(
            String promise, String subject, String detail, List<String> events) {

        public BrokenPromise {
            events = List.copyOf(events);
        }
    }
}
