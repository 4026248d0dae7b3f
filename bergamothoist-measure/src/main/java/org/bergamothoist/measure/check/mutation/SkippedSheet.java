package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.measure.check.Interposition;

/** Skips the sheets of one office in the folds of every second daemon. */
final class SkippedSheet implements Interposition {

    private static final String OFFICE = "bern";

    @Override
    public LogService log(NodeSettings node, LogService log) {
        boolean even = (node.self().name().hashCode() & 1) == 0;
        return even ? new RewritingLog(log, SkippedSheet::skip) : log;
    }

    private static LogRecord skip(LogRecord record) {
        boolean skipped =
                record instanceof LogRecord.SheetSubmission sheet && sheet.office().equals(OFFICE);
        return skipped ? new LogRecord.Unknown("skipped sheet") : record;
    }
}
