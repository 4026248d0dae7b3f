package org.bergamothoist.measure.check.mutation;

import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;

/** Passes appends on and changes records as they are read. */
record RewritingLog(LogService next, UnaryOperator<LogRecord> rewriting) implements LogService {

    @Override
    public CompletionStage<Long> append(LogRecord record) {
        return next.append(record);
    }

    @Override
    public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
        return next.read(fromOffset, maximumRecords).thenApply(this::rewrite);
    }

    private LogPage rewrite(LogPage page) {
        return new LogPage(
                page.firstRetainedOffset(),
                page.endOffset(),
                page.entries().stream().map(this::rewrite).toList());
    }

    private LogEntry rewrite(LogEntry entry) {
        return new LogEntry(entry.offset(), entry.appendTime(), rewriting.apply(entry.record()));
    }
}
