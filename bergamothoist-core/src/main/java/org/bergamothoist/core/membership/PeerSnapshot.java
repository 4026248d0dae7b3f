package org.bergamothoist.core.membership;

import java.time.Duration;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;

/**
 * Another daemon's state as known to this daemon.
 *
 * @param appliedOffset lower bound of the offset of the last log record that it has applied. If any
 *     daemon is known to be ahead of a given offset, at least one snapshot shows it.
 * @param confirmedAge lower bound of the time since it last confirmed the end of the log, as far as
 *     is known here; for a daemon that was last seen through others, the time since any daemon
 *     confirmed it
 * @param informationAge upper bound of the time since it was last known to be alive, directly or
 *     through others
 * @param live whether that time is within the liveness timeout
 * @param firstHand whether the newest information came from the daemon itself; only then {@code
 *     confirmedAge} refers to the peer's own confirmation
 */
public record PeerSnapshot(
        DaemonId daemon,
        DaemonStatus status,
        long appliedOffset,
        Duration confirmedAge,
        Duration informationAge,
        boolean live,
        boolean firstHand) {}
