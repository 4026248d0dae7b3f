package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.function.Consumer;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/**
 * The connection of one dispatch between a node and a target.
 *
 * @param <L> kind of the node's listener
 */
final class Connection<L> implements TargetStream {

    static final Duration LATENCY = Duration.ofMillis(1);

    /** The target's end. */
    interface Peer {

        /** Handles that the node takes more parts. */
        void onDemand(int parts);

        /** Handles that the node has closed the connection. */
        void onClosed();
    }

    private final VirtualTimeScheduler time;
    private final SimulatedProcess node;
    private final L listener;
    private SimulatedProcess target;
    private Peer peer;
    private int demandBeforeAccept;
    private boolean closed;
    private boolean cancelled;

    Connection(VirtualTimeScheduler time, SimulatedProcess node, L listener) {
        this.time = time;
        this.node = node;
        this.listener = listener;
    }

    /** Connects the target's end; what arrived before is delivered to it. */
    void accept(SimulatedProcess targetProcess, Peer targetPeer) {
        target = targetProcess;
        peer = targetPeer;
        if (demandBeforeAccept > 0) {
            peer.onDemand(demandBeforeAccept);
        }
        if (cancelled) {
            peer.onClosed();
        }
    }

    @Override
    public void request(int parts) {
        time.schedule(LATENCY, () -> toTarget(() -> peer.onDemand(parts), parts));
    }

    private void toTarget(Runnable event, int parts) {
        if (peer == null) {
            demandBeforeAccept += parts;
            return;
        }
        target.execute(event);
    }

    /**
     * Closes the connection. Events that are under way, or that a frozen target has still to
     * handle, arrive all the same, as they may with a threaded adapter.
     */
    @Override
    public void cancel() {
        time.schedule(
                LATENCY,
                () -> {
                    cancelled = true;
                    if (peer != null) {
                        target.execute(peer::onClosed);
                    }
                });
    }

    /** Delivers an event to the node. */
    void deliver(Consumer<L> event) {
        node.schedule(
                LATENCY,
                () -> {
                    if (!closed) {
                        event.accept(listener);
                    }
                });
    }

    /** Delivers the last event to the node. */
    void end(Consumer<L> event) {
        node.schedule(
                LATENCY,
                () -> {
                    if (!closed) {
                        closed = true;
                        event.accept(listener);
                    }
                });
    }

    boolean nodeAlive() {
        return node.alive();
    }
}
