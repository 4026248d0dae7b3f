package org.bergamothoist.measure.check.mutation;

import java.time.Duration;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.measure.check.Interposition;

/** Makes heartbeats look as if they had just been made, and their confirmations too. */
final class AgelessMessages implements Interposition {

    @Override
    public PeerNetwork peers(NodeSettings node, PeerNetwork peers) {
        return new ForwardingPeerNetwork(peers) {
            @Override
            public void setReceiver(PeerReceiver receiver) {
                super.setReceiver(
                        (sender, address, message) ->
                                receiver.onMessage(sender, address, ageless(message)));
            }
        };
    }

    private static PeerMessage ageless(PeerMessage message) {
        if (!(message instanceof PeerMessage.Heartbeat heartbeat)) {
            return message;
        }
        return new PeerMessage.Heartbeat(
                heartbeat.status(),
                heartbeat.sequence(),
                Duration.ZERO,
                heartbeat.appliedOffset(),
                Duration.ZERO,
                heartbeat.demand(),
                heartbeat.leavingTargets(),
                heartbeat.outstanding(),
                heartbeat.complete(),
                heartbeat.others());
    }
}
