package org.bergamothoist.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;

/**
 * Estimates the load of targets from this daemon's outstanding requests, the targets' reports and
 * the peers' heartbeats. Confined to the control thread.
 */
public final class LoadEstimator {

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /**
     * Prefill time of a single prompt, in seconds, from which it is announced to the peers
     * immediately. Otherwise they would consider the target idle until the next heartbeat and place
     * their own long prompts there. A target computes at most two such prompts per second, which
     * bounds the number of announcements.
     */
    private static final double ANNOUNCED_PREFILL_SECONDS = 0.5;

    private final LoadSettings settings;
    private final InstantSource clock;
    private final Map<TargetId, LoadEntry> loads = new HashMap<>();
    private final Map<DaemonId, PeerLoad> peers = new HashMap<>();
    private final DecayingRate dispatchRate;
    private Runnable loadAnnouncer = () -> {};

    /** Creates an estimator without any recorded load. */
    public LoadEstimator(LoadSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        this.dispatchRate = new DecayingRate(clock);
    }

    /** Returns the assumed capacity of engines. */
    public LoadSettings settings() {
        return settings;
    }

    /**
     * Sets the action that sends {@link #ownOutstanding} to the peers; it runs when a long prompt
     * was dispatched.
     */
    public void setLoadAnnouncer(Runnable announcer) {
        loadAnnouncer = announcer;
    }

    /**
     * Adds a dispatched request.
     *
     * @param uncachedTokens prompt tokens that the target has to compute
     */
    public void onDispatch(TargetId target, int uncachedTokens) {
        LoadEntry load = loadOf(target);
        load.ownTokens += uncachedTokens;
        load.ownStreams++;
        dispatchRate.recordEvent();
        if (uncachedTokens >= ANNOUNCED_PREFILL_SECONDS * settings.prefillTokensPerSecond()) {
            loadAnnouncer.run();
        }
    }

    /**
     * Removes the prompt tokens of a dispatched request, whose first token has arrived or which has
     * failed.
     */
    public void onPrefillFinished(TargetId target, int uncachedTokens) {
        LoadEntry load = loadOf(target);
        load.ownTokens = Math.max(0, load.ownTokens - uncachedTokens);
    }

    /** Removes the stream of a dispatched request; called after {@link #onPrefillFinished}. */
    public void onStreamFinished(TargetId target) {
        LoadEntry load = loadOf(target);
        load.ownStreams = Math.max(0, load.ownStreams - 1);
    }

    /**
     * Updates the load that other daemons cause at a target: what it reports beyond this daemon's
     * own work.
     */
    public void onReport(TargetId target, long queuedTokens, int runningStreams) {
        LoadEntry load = loadOf(target);
        load.reportedOtherTokens = Math.max(0, queuedTokens - load.ownTokens);
        load.reportedOtherStreams = Math.max(0, runningStreams - load.ownStreams);
        load.reportedAt = clock.instant();
    }

    /** Replaces a peer's outstanding work by that of its new heartbeat. */
    public void onHeartbeat(DaemonId peer, Map<TargetId, Outstanding> outstanding) {
        expirePeers();
        PeerLoad previous = peers.put(peer, new PeerLoad(clock.instant(), outstanding));
        if (previous != null) {
            addPeerWork(previous.outstanding, -1);
        }
        addPeerWork(outstanding, 1);
    }

    private void expirePeers() {
        Instant oldest = clock.instant().minus(settings.expiry());
        Iterator<PeerLoad> iterator = peers.values().iterator();
        while (iterator.hasNext()) {
            PeerLoad peer = iterator.next();
            if (peer.receivedAt.isBefore(oldest)) {
                addPeerWork(peer.outstanding, -1);
                iterator.remove();
            }
        }
    }

    private void addPeerWork(Map<TargetId, Outstanding> outstanding, int sign) {
        outstanding.forEach(
                (target, work) -> {
                    LoadEntry load = loadOf(target);
                    load.peerTokens += (long) sign * work.promptTokens();
                    load.peerStreams += sign * work.streams();
                });
    }

    /** Returns the number of daemons with a recent heartbeat, including this one. */
    public int liveDaemons() {
        return peers.size() + 1;
    }

    /** Returns the estimated number of requests per second that all daemons together dispatch. */
    public double dispatchesPerSecond() {
        return dispatchRate.perSecond() * liveDaemons();
    }

    /** Returns this daemon's outstanding work by target, as sent in its heartbeats. */
    public Map<TargetId, Outstanding> ownOutstanding() {
        Map<TargetId, Outstanding> outstanding = new HashMap<>();
        loads.forEach(
                (target, load) -> {
                    if (load.ownStreams > 0) {
                        int tokens = (int) Math.min(Integer.MAX_VALUE, load.ownTokens);
                        outstanding.put(target, new Outstanding(tokens, load.ownStreams));
                    }
                });
        return outstanding;
    }

    /** Returns the estimated number of prompt tokens queued at the target. */
    public double queuedTokens(TargetId target) {
        LoadEntry load = loads.get(target);
        if (load == null) {
            return 0;
        }
        // The report is outdated by the tokens that the target has computed since.
        double drainedTokens =
                reportAge(load) / MILLISECONDS_PER_SECOND * settings.prefillTokensPerSecond();
        double reportedTokens = Math.max(0, load.reportedOtherTokens - drainedTokens);
        return load.ownTokens + Math.max(reportedTokens, load.peerTokens);
    }

    /** Returns the estimated number of streams at the target. */
    public int streams(TargetId target) {
        LoadEntry load = loads.get(target);
        if (load == null) {
            return 0;
        }
        boolean isCurrent = reportAge(load) <= settings.expiry().toMillis();
        int reportedStreams = isCurrent ? load.reportedOtherStreams : 0;
        return load.ownStreams + Math.max(reportedStreams, load.peerStreams);
    }

    /** Returns the predicted seconds until the target would start to compute a new prompt. */
    public double queueingSeconds(TargetId target) {
        double prefillSeconds = queuedTokens(target) / settings.prefillTokensPerSecond();
        int excessStreams = streams(target) + 1 - settings.streamsPerTarget();
        return excessStreams <= 0
                ? prefillSeconds
                : prefillSeconds + excessStreams * secondsPerStreamSlot();
    }

    /**
     * Returns the typical interval, in seconds, at which a stream slot of a full target becomes
     * free.
     */
    private double secondsPerStreamSlot() {
        return settings.streamDuration().toMillis()
                / MILLISECONDS_PER_SECOND
                / settings.streamsPerTarget();
    }

    /** Returns the predicted time until the target would start to compute a new prompt. */
    public Duration queueingDelay(TargetId target) {
        return Duration.ofMillis(Math.round(queueingSeconds(target) * MILLISECONDS_PER_SECOND));
    }

    /**
     * Clears this daemon's work at a target and the target's report, after the target has left or
     * restarted. The peers' work stays until their next heartbeats.
     */
    public void clearLoad(TargetId target) {
        LoadEntry load = loads.get(target);
        if (load == null) {
            return;
        }
        load.ownTokens = 0;
        load.ownStreams = 0;
        load.reportedOtherTokens = 0;
        load.reportedOtherStreams = 0;
        if (load.peerTokens == 0 && load.peerStreams == 0) {
            loads.remove(target);
        }
    }

    private long reportAge(LoadEntry load) {
        return Duration.between(load.reportedAt, clock.instant()).toMillis();
    }

    private LoadEntry loadOf(TargetId target) {
        return loads.computeIfAbsent(target, key -> new LoadEntry());
    }

    private static final class LoadEntry {
        private long ownTokens;
        private int ownStreams;
        private long peerTokens;
        private int peerStreams;

        /** Queued tokens in the last report beyond this daemon's own. */
        private long reportedOtherTokens;

        /** Running streams in the last report beyond this daemon's own. */
        private int reportedOtherStreams;

        private Instant reportedAt = Instant.EPOCH;
    }

    private record PeerLoad(Instant receivedAt, Map<TargetId, Outstanding> outstanding) {}
}
