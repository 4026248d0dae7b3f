package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.measure.check.Interposition;

/** Each daemon counts only the losses of targets that it has seen itself. */
final class UntoldLosses implements Interposition {

    @Override
    public LogService log(NodeSettings node, LogService log) {
        return new RewritingLog(
                log,
                record ->
                        record instanceof LogRecord.LossReport
                                ? new LogRecord.Unknown("untold loss")
                                : record);
    }

    @Override
    public PeerNetwork peers(NodeSettings node, PeerNetwork peers) {
        return new ForwardingPeerNetwork(peers) {
            @Override
            public void send(String address, PeerMessage message) {
                if (!(message instanceof PeerMessage.LossNotice)) {
                    super.send(address, message);
                }
            }
        };
    }
}
