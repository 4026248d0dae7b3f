package org.bergamothoist.measure;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The figures of one policy in one scenario.
 *
 * @param hitRate tokens of full prompt blocks that engines took from their caches, divided by the
 *     tokens of all full prompt blocks of the requests whose prompts were computed
 * @param wastedTokens tokens prefilled although another live engine held them, plus tokens computed
 *     and thrown away
 * @param refused requests that were refused or whose attempts failed
 * @param offered requests that arrived in the measured time
 * @param score the deployment's weighted measure, see {@link Score}; lower is better
 */
public record MeasurementRow(
        String policy,
        String scenario,
        @JsonProperty("hit_rate") double hitRate,
        @JsonProperty("ttft_p50_ms") long ttftP50Milliseconds,
        @JsonProperty("ttft_p95_ms") long ttftP95Milliseconds,
        @JsonProperty("ttft_p99_ms") long ttftP99Milliseconds,
        @JsonProperty("wasted_tokens") long wastedTokens,
        long refused,
        long offered,
        double score) {}
