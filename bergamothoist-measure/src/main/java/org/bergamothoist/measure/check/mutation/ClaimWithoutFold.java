package org.bergamothoist.measure.check.mutation;

import java.util.List;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.measure.check.Interposition;

/** Hides the claims of other daemons, so that each takes its own for the first. */
final class ClaimWithoutFold implements Interposition {

    @Override
    public LogService log(NodeSettings node, LogService log) {
        return new RewritingLog(log, record -> hideOthers(node, record));
    }

    private static LogRecord hideOthers(NodeSettings node, LogRecord record) {
        if (!(record instanceof LogRecord.ClaimBatch batch) || batch.holder().equals(node.self())) {
            return record;
        }
        return new LogRecord.ClaimBatch(
                batch.batchId(), batch.holder(), List.of(), List.of(), List.of());
    }
}
