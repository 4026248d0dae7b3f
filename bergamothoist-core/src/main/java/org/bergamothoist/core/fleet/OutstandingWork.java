package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Outstanding work at one target: this daemon's own, and that of other daemons as of their last
 * reports. Confined to the control thread.
 */
public final class OutstandingWork {

    /** Age after which another daemon's report is discarded: a few report intervals. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_500);

    /**
     * Prompt tokens dispatched since the last report that trigger a report at once: about 27 ms of
     * an engine's prefill.
     */
    private static final long REPORT_THRESHOLD_TOKENS = 2_048;

    private int ownRequests;
    private long ownPrefillTokens;
    private long unreportedTokens;
    private final Map<String, RemoteLoad> remoteLoads = new HashMap<>();

    /**
     * Adds a request that is sent to the target.
     *
     * @param tokens prompt tokens that the target has to prefill
     */
    public void addRequest(long tokens) {
        ownRequests++;
        ownPrefillTokens += tokens;
        unreportedTokens += tokens;
    }

    /**
     * Returns whether the load has grown so much that it should be reported before the next regular
     * report.
     */
    public boolean needsReport() {
        return unreportedTokens >= REPORT_THRESHOLD_TOKENS;
    }

    /** Records that this daemon reports its load to other daemons. */
    public void markReported() {
        unreportedTokens = 0;
    }

    /**
     * Records that the target has prefilled the prompt of a request.
     *
     * @param tokens number of tokens that were added for the request
     */
    public void completePrefill(long tokens) {
        ownPrefillTokens -= tokens;
    }

    /** Removes a request that has ended. */
    public void removeRequest() {
        ownRequests--;
    }

    /** Replaces another daemon's outstanding work at the target. */
    public void updateRemoteLoad(String daemon, int requestCount, long tokens, Instant now) {
        remoteLoads.put(daemon, new RemoteLoad(requestCount, tokens, now));
    }

    /** Removes another daemon's outstanding work, because it has none left at the target. */
    public void clearRemoteLoad(String daemon) {
        remoteLoads.remove(daemon);
    }

    /** Returns the number of this daemon's outstanding requests. */
    public int ownRequests() {
        return ownRequests;
    }

    /** Returns the prompt tokens of this daemon that the target has yet to prefill. */
    public long ownPrefillTokens() {
        return ownPrefillTokens;
    }

    /** Returns the number of outstanding requests of all daemons. */
    public int totalRequests(Instant now) {
        removeExpired(now);
        return ownRequests + remoteLoads.values().stream().mapToInt(RemoteLoad::requests).sum();
    }

    /** Returns the prompt tokens of all daemons that the target has yet to prefill. */
    public long totalPrefillTokens(Instant now) {
        removeExpired(now);
        return ownPrefillTokens + remoteLoads.values().stream().mapToLong(RemoteLoad::tokens).sum();
    }

    private void removeExpired(Instant now) {
        remoteLoads.values().removeIf(load -> load.at().plus(REPORT_LIFETIME).isBefore(now));
    }

    private record RemoteLoad(int requests, long tokens, Instant at) {}
}
