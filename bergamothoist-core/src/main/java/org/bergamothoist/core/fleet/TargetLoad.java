package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Work that waits or runs at one target: this daemon's own, and other daemons' as they last
 * reported. Confined to the control thread.
 */
public final class TargetLoad {

    /** Age at which a report of another daemon no longer counts: a few report intervals. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_500);

    /** Prompt tokens sent that others hear of at once: about 27 ms of an engine's reading. */
    private static final long REPORTED_GROWTH_TOKENS = 2_048;

    private int requests;
    private long prefillTokens;
    private long unreportedTokens;
    private final Map<String, Report> reports = new HashMap<>();

    /** Notes a request sent to the target. */
    public void begin(long tokens) {
        requests++;
        prefillTokens += tokens;
        unreportedTokens += tokens;
    }

    /** Returns whether others should hear of the load before the next regular report. */
    public boolean hasGrown() {
        return unreportedTokens >= REPORTED_GROWTH_TOKENS;
    }

    /** Notes that this daemon reports the load to others. */
    public void reported() {
        unreportedTokens = 0;
    }

    /** Notes that the target has read the prompt of a request. */
    public void prefilled(long tokens) {
        prefillTokens -= tokens;
    }

    /** Notes the end of a request. */
    public void end() {
        requests--;
    }

    /** Takes over what another daemon has outstanding at the target. */
    public void report(String daemon, int requestCount, long tokens, Instant now) {
        reports.put(daemon, new Report(requestCount, tokens, now));
    }

    public int ownRequests() {
        return requests;
    }

    public long ownPrefillTokens() {
        return prefillTokens;
    }

    /** Returns the requests of all daemons. */
    public int totalRequests(Instant now) {
        expire(now);
        return requests + reports.values().stream().mapToInt(Report::requests).sum();
    }

    /** Returns the prompt tokens of all daemons that the target has yet to read. */
    public long totalPrefillTokens(Instant now) {
        expire(now);
        return prefillTokens + reports.values().stream().mapToLong(Report::tokens).sum();
    }

    private void expire(Instant now) {
        reports.values().removeIf(report -> report.at().plus(REPORT_LIFETIME).isBefore(now));
    }

    private record Report(int requests, long tokens, Instant at) {}
}
