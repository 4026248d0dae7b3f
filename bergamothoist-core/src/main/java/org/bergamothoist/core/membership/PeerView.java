package org.bergamothoist.core.membership;

import java.time.Duration;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;

/**
 * Another daemon as seen from here.
 *
 * @param appliedOffset lower bound of the last record that it has folded. If any daemon is known to
 *     be ahead of a given offset, at least one view shows it.
 * @param confirmedAge lower bound of the time since it last confirmed the end of the log, as far as
 *     is known here; for a daemon that was last heard of through others, the time since any daemon
 *     confirmed it
 * @param informationAge upper bound of the time since it was heard to live, directly or through
 *     others
 * @param live whether that time is short enough
 * @param firstHand whether the newest information came from the daemon itself; only then its
 *     confirmation is its own
 */
public record PeerView(
        DaemonId daemon,
        DaemonStatus status,
        long appliedOffset,
        Duration confirmedAge,
        Duration informationAge,
        boolean live,
        boolean firstHand) {}
