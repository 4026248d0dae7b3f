package org.bergamothoist.measure.check.mutation;

import java.util.function.Supplier;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;

/** Passes messages on; subclasses drop or change some. */
class ForwardingPeerNetwork implements PeerNetwork {

    private final PeerNetwork next;

    ForwardingPeerNetwork(PeerNetwork next) {
        this.next = next;
    }

    @Override
    public void send(String address, PeerMessage message) {
        next.send(address, message);
    }

    @Override
    public final void composeAndSend(String address, Supplier<? extends PeerMessage> message) {
        send(address, message.get());
    }

    @Override
    public void setReceiver(PeerReceiver receiver) {
        next.setReceiver(receiver);
    }
}
