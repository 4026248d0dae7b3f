package org.bergamothoist.core.peer;

import java.util.function.Supplier;
import org.bergamothoist.core.identity.DaemonId;

/**
 * Carries messages between daemons. Messages may be lost, late or duplicated; those of an open
 * connection keep their order, but heartbeats may overtake others. Senders are authenticated.
 * Received messages have been {@link PeerMessage#delayedBy delayed} by an upper bound of the time
 * that they were under way.
 */
public interface PeerNetwork {

    /**
     * Sends a message if the peer can be reached, without waiting.
     *
     * @param address peer address, {@code host:port}
     */
    void send(String address, PeerMessage message);

    /**
     * Sends a message whose ages are computed by the supplier. The network takes the time of
     * sending before it calls the supplier, so that a pause of the process between the two makes
     * the message look older, never newer. Messages with ages should be sent this way.
     *
     * @param address peer address, {@code host:port}
     */
    default void composeAndSend(String address, Supplier<? extends PeerMessage> message) {
        send(address, message.get());
    }

    /** Sets the receiver of all messages, which is called on any thread. */
    void setReceiver(PeerReceiver receiver);

    /** Receives messages from other daemons. */
    @FunctionalInterface
    interface PeerReceiver {

        /**
         * Handles a message.
         *
         * @param senderAddress peer address of the sender, for answers
         */
        void onMessage(DaemonId sender, String senderAddress, PeerMessage message);
    }
}
