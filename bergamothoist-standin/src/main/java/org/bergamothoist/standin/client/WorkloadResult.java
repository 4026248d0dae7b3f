package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bergamothoist.standin.EngineCounters;

/**
 * What a workload measured.
 *
 * @param requests requests sent, completions and service calls
 * @param skipped requests not sent because too many ran at once
 * @param mostConcurrent highest number of requests that ran at once
 * @param counters what the engines counted during the workload
 * @param timeToFirstToken percentiles over all completions that got a piece
 * @param outcomes number of requests by final outcome
 * @param codes number of the router's answers by code, including those after which callers tried
 *     again
 * @param resumes number of streams that callers resumed after a lost connection
 * @param violations broken promises
 */
public record WorkloadResult(
        int requests,
        int skipped,
        int mostConcurrent,
        EngineCounters counters,
        Percentiles timeToFirstToken,
        Map<OutcomeKind, Integer> outcomes,
        Map<String, Integer> codes,
        int resumes,
        List<Violation> violations) {

    public WorkloadResult {
        outcomes = Collections.unmodifiableMap(new TreeMap<>(outcomes));
        codes = Collections.unmodifiableMap(new TreeMap<>(codes));
        violations = List.copyOf(violations);
    }

    /** Percentiles of a time. */
    public record Percentiles(Duration p50, Duration p95, Duration p99) {}

    /** Returns the share of prompt tokens that came from an engine's cache. */
    public double hitRate() {
        return counters.hitRate();
    }

    /** Returns tokens computed although a live engine held them, or thrown away. */
    public long wastedTokens() {
        return counters.wastedTokens();
    }
}
