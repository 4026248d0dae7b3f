package org.bergamothoist.core.peer;

import java.util.function.Supplier;
import org.bergamothoist.core.identity.DaemonId;

/**
 * Sends messages between daemons. Messages may be lost, delayed or duplicated. Messages on one
 * connection keep their order, except that heartbeats may overtake others. Senders are
 * authenticated. The ages in received messages {@link PeerMessage#delayedBy include} an upper bound
 * of the transit time.
 */
public interface PeerNetwork {

    /**
     * Sends a message without blocking; it is lost if the peer cannot be reached.
     *
     * @param address peer address, {@code host:port}
     */
    void send(String address, PeerMessage message);

    /**
     * Sends a message that the supplier creates. The network takes the time of sending before it
     * calls the supplier, so that a process pause between the two makes the message look older,
     * never newer. Messages that contain ages should be sent this way.
     *
     * @param address peer address, {@code host:port}
     * @param message creates the message
     */
    default void composeAndSend(String address, Supplier<? extends PeerMessage> message) {
        send(address, message.get());
    }

    /** Sets the receiver of all messages. The receiver may be called on any thread. */
    void setReceiver(PeerReceiver receiver);

    /** Receives messages from other daemons. */
    @FunctionalInterface
    interface PeerReceiver {

        /**
         * Handles a message.
         *
         * @param senderAddress peer address of the sender, for replies
         */
        void onMessage(DaemonId sender, String senderAddress, PeerMessage message);
    }
}
