package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
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

    /**
     * Tokens of requests dispatched since the last report that trigger a report at once: a
     * twentieth of an engine's memory of 100,000 tokens, of which a tenth is kept free for requests
     * that other daemons do not know of yet.
     */
    private static final long REPORT_THRESHOLD_MEMORY_TOKENS = 5_000;

    private int ownRequests;
    private long ownPrefillTokens;
    private long ownMemoryTokens;
    private int ownUrgentStreams;
    private long unreportedTokens;
    private long unreportedMemoryTokens;
    private final Map<String, RemoteLoad> remoteLoads = new HashMap<>();

    /**
     * Adds a request that is sent to the target.
     *
     * @param tokens prompt tokens that the target has to prefill
     */
    public void addRequest(long tokens) {
        addRequest(tokens, 0, false);
    }

    /**
     * Adds a request that is sent to the target.
     *
     * @param tokens prompt tokens that the target has to prefill
     * @param memoryTokens tokens of the whole prompt and the expected output, 0 if the target's
     *     memory sets no limit
     * @param urgentStream whether its answer is a stream of the most urgent priority
     */
    public void addRequest(long tokens, long memoryTokens, boolean urgentStream) {
        ownRequests++;
        ownPrefillTokens += tokens;
        unreportedTokens += tokens;
        ownMemoryTokens += memoryTokens;
        unreportedMemoryTokens += memoryTokens;
        ownUrgentStreams += urgentStream ? 1 : 0;
    }

    /**
     * Returns whether the load has grown so much that it should be reported before the next regular
     * report.
     */
    public boolean needsReport() {
        return unreportedTokens >= REPORT_THRESHOLD_TOKENS
                || unreportedMemoryTokens >= REPORT_THRESHOLD_MEMORY_TOKENS;
    }

    /** Records that this daemon reports its load to other daemons. */
    public void markReported() {
        unreportedTokens = 0;
        unreportedMemoryTokens = 0;
    }

    /**
     * Records that the target has prefilled the prompt of a request.
     *
     * @param tokens number of tokens that were added for the request
     */
    public void completePrefill(long tokens) {
        ownPrefillTokens -= tokens;
    }

    /** Removes a request that has ended, which was added with the same values. */
    public void removeRequest(long memoryTokens, boolean urgentStream) {
        ownRequests--;
        ownMemoryTokens -= memoryTokens;
        ownUrgentStreams -= urgentStream ? 1 : 0;
    }

    /** Replaces another daemon's outstanding work at the target. */
    public void updateRemoteLoad(String daemon, int requestCount, long tokens, Instant now) {
        updateRemoteLoad(daemon, new Totals(requestCount, tokens, 0, 0), now);
    }

    /** Replaces another daemon's outstanding work at the target. */
    public void updateRemoteLoad(String daemon, Totals load, Instant now) {
        remoteLoads.put(daemon, new RemoteLoad(load, now));
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

    /** Returns the tokens of this daemon's outstanding requests, prompts and expected output. */
    public long ownMemoryTokens() {
        return ownMemoryTokens;
    }

    /** Returns the number of this daemon's outstanding streams of the most urgent priority. */
    public int ownUrgentStreams() {
        return ownUrgentStreams;
    }

    /** Returns the number of outstanding requests of all daemons. */
    public int totalRequests(Instant now) {
        return totals(now).requests();
    }

    /** Returns the prompt tokens of all daemons that the target has yet to prefill. */
    public long totalPrefillTokens(Instant now) {
        return totals(now).prefillTokens();
    }

    /** Returns the outstanding work of all daemons. */
    public Totals totals(Instant now) {
        int requests = ownRequests;
        long prefillTokens = ownPrefillTokens;
        long memoryTokens = ownMemoryTokens;
        int urgentStreams = ownUrgentStreams;
        Instant oldest = now.minus(REPORT_LIFETIME);
        Iterator<RemoteLoad> loads = remoteLoads.values().iterator();
        while (loads.hasNext()) {
            RemoteLoad load = loads.next();
            if (load.at().isBefore(oldest)) {
                loads.remove();
                continue;
            }
            requests += load.load().requests();
            prefillTokens += load.load().prefillTokens();
            memoryTokens += load.load().memoryTokens();
            urgentStreams += load.load().urgentStreams();
        }
        return new Totals(requests, prefillTokens, memoryTokens, urgentStreams);
    }

    /**
     * Outstanding work of one daemon or of all.
     *
     * @param requests number of requests
     * @param prefillTokens their prompt tokens that the target has yet to prefill
     * @param memoryTokens their tokens, prompts and expected output
     * @param urgentStreams number of them that are streams of the most urgent priority
     */
    public record Totals(int requests, long prefillTokens, long memoryTokens, int urgentStreams) {}

    private record RemoteLoad(Totals load, Instant at) {}
}
