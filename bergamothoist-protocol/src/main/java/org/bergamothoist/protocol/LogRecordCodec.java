package org.bergamothoist.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.protocol.generated.LogRecordMessages;
import org.bergamothoist.protocol.internal.LogRecordMapper;

/** Converts log records to bytes and back. Safe for use by several threads. */
public final class LogRecordCodec {

    /** Returns the bytes of a record; equal records have equal bytes. */
    public byte[] encode(LogRecord record) {
        return LogRecordMapper.toMessage(record).toByteArray();
    }

    /**
     * Returns the record of the bytes. Never throws, since a single bad record must not stop the
     * fold: bytes that are no record, or a record of a newer version, become {@link
     * LogRecord.Unknown} on every daemon.
     */
    public LogRecord decode(byte[] bytes) {
        try {
            return LogRecordMapper.toRecord(LogRecordMessages.LogRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException malformed) {
            return new LogRecord.Unknown("malformed record of " + bytes.length + " bytes");
        } catch (RuntimeException invalid) {
            return new LogRecord.Unknown(
                    "record with invalid fields: " + invalid.getClass().getSimpleName());
        }
    }
}
