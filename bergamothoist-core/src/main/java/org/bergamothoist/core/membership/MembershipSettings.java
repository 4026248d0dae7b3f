package org.bergamothoist.core.membership;

import java.time.Duration;

/**
 * Rates and size bounds of heartbeats.
 *
 * @param period heartbeat period; a daemon of a small fleet sends one heartbeat to each peer in it
 * @param livenessTimeout a daemon counts as live if it was seen within this time
 * @param fullMeshMaximumPeers largest number of peers that all receive a heartbeat in each period
 * @param sampledPeers number of peers that receive a heartbeat in each period in a larger fleet
 * @param maximumHeartbeatBytes maximum size of a heartbeat in bytes, without the frame
 * @param maximumBytesPerPeriod maximum size in bytes of all heartbeats that a daemon of a large
 *     fleet sends in a period, with frames
 */
public record MembershipSettings(
        Duration period,
        Duration livenessTimeout,
        int fullMeshMaximumPeers,
        int sampledPeers,
        int maximumHeartbeatBytes,
        int maximumBytesPerPeriod) {

    /** Size of the frame around a heartbeat in bytes: length, MAC, stamp and header. */
    public static final int FRAME_BYTES = 54;

    /** Returns the default settings. */
    public static MembershipSettings defaults() {
        return new MembershipSettings(
                Duration.ofSeconds(1), Duration.ofSeconds(3), 8, 4, 600, 2_000);
    }

    /** Returns the number of heartbeats that a daemon with this many peers sends in a period. */
    int heartbeatsPerPeriod(int peers) {
        return peers <= fullMeshMaximumPeers ? Math.max(1, peers) : sampledPeers;
    }

    /** Returns the maximum size of one heartbeat of a daemon with this many peers, in bytes. */
    int heartbeatBytes(int peers) {
        if (peers <= fullMeshMaximumPeers) {
            return maximumHeartbeatBytes;
        }
        return Math.min(maximumHeartbeatBytes, maximumBytesPerPeriod / sampledPeers - FRAME_BYTES);
    }
}
