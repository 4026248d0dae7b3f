package org.bergamothoist.core.peer;

import org.bergamothoist.core.identity.DaemonId;

/**
 * Carries messages between daemons. Messages may be lost, late or duplicated; those of an open
 * connection keep their order. Senders are authenticated.
 */
public interface PeerNetwork {

    /**
     * Sends a message if the peer can be reached, without waiting.
     *
     * @param address peer address, {@code host:port}
     */
    void send(String address, PeerMessage message);

    /** Sets the receiver of all messages, which is called on any thread. */
    void receive(PeerReceiver receiver);

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
