package org.bergamothoist.core.membership;

import java.time.Duration;

/**
 * Rates and bounds of heartbeats.
 *
 * @param period time in which a daemon of a small fleet sends one heartbeat to each peer
 * @param liveWithin a daemon is live if it was heard of within this time
 * @param allPeersUpTo largest number of peers that are all sent to in each period
 * @param sampledPeers peers sent to in each period by a daemon with more peers
 * @param maximumHeartbeatBytes bound of a heartbeat, without the frame
 * @param bytesEachPeriod bound of all heartbeats sent in a period by a daemon of a large fleet,
 *     with frames
 */
public record MembershipSettings(
        Duration period,
        Duration liveWithin,
        int allPeersUpTo,
        int sampledPeers,
        int maximumHeartbeatBytes,
        int bytesEachPeriod) {

    /** Bytes of length, MAC, stamp and head around a heartbeat. */
    public static final int FRAME_BYTES = 54;

    /** Returns the settings of section 3.10 of the design. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1), Duration.ofSeconds(3), 8, 4, 600, 2_000);
    }

    /** Returns how many heartbeats a daemon with this many peers sends in a period. */
    int heartbeatsEachPeriod(int peers) {
        return peers <= allPeersUpTo ? Math.max(1, peers) : sampledPeers;
    }

    /** Returns the bound of one heartbeat of a daemon with this many peers, in bytes. */
    int heartbeatBytes(int peers) {
        if (peers <= allPeersUpTo) {
            return maximumHeartbeatBytes;
        }
        return Math.min(maximumHeartbeatBytes, bytesEachPeriod / sampledPeers - FRAME_BYTES);
    }
}
