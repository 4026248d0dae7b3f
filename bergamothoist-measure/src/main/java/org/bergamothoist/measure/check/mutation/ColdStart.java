package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.measure.check.Interposition;

/** Hides checkpoints, and drops requests for snapshots. */
final class ColdStart implements Interposition {

    @Override
    public LogService log(NodeSettings node, LogService log) {
        return new RewritingLog(
                log,
                record ->
                        record instanceof LogRecord.Checkpoint
                                ? new LogRecord.Unknown("hidden checkpoint")
                                : record);
    }

    @Override
    public PeerNetwork peers(NodeSettings node, PeerNetwork peers) {
        return new ForwardingPeerNetwork(peers) {
            @Override
            public void send(String address, PeerMessage message) {
                if (!(message instanceof PeerMessage.SnapshotRequest)) {
                    super.send(address, message);
                }
            }
        };
    }
}
