package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.measure.check.Interposition;

/** Hides the leases of other daemons, so that each takes itself for the holder. */
final class LeaseWithoutFold implements Interposition {

    @Override
    public LogService log(NodeSettings node, LogService log) {
        return new RewritingLog(log, record -> hideOthers(node, record));
    }

    private static LogRecord hideOthers(NodeSettings node, LogRecord record) {
        boolean hidden =
                record instanceof LogRecord.LeaseRequest lease
                        && !lease.holder().equals(node.self());
        return hidden ? new LogRecord.Unknown("hidden lease") : record;
    }
}
