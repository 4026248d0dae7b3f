package org.bergamothoist.daemon.adapter;

import org.bergamothoist.core.log.LogRecord;

/** Converts log records to the bytes that the log keeps, and back. */
public interface LogRecordCodec {

    /** Returns the record's bytes. */
    byte[] encode(LogRecord record);

    /** Returns the record, or a {@link LogRecord.Unknown} if this version cannot decode it. */
    LogRecord decode(byte[] bytes);
}
