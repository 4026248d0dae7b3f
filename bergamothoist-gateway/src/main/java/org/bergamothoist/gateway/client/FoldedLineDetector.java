package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;

/**
 * Finds folded lines in the heads of answers. The decoder joins them in time that grows with the
 * square of their number, and RFC 9112, section 5.2, lets a gateway discard such an answer.
 */
final class FoldedLineDetector {

    /** Index in a status line of the digit that says whether the answer is an interim one. */
    private static final int STATUS_CLASS_INDEX = 9;

    private boolean inHead;
    private boolean statusLine;
    private boolean interim;
    private int lineLength;

    /** Expects the head of an answer. */
    void expectHead() {
        inHead = true;
        statusLine = true;
        interim = false;
        lineLength = 0;
    }

    /**
     * Looks at further bytes, which stay readable; returns whether a folded line begins in them.
     */
    boolean containsFoldedLine(ByteBuf bytes) {
        int end = bytes.writerIndex();
        for (int index = bytes.readerIndex(); inHead && index < end; index++) {
            byte next = bytes.getByte(index);
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                if (lineLength == 0 && !statusLine && (next == ' ' || next == '\t')) {
                    return true;
                }
                if (statusLine && lineLength == STATUS_CLASS_INDEX) {
                    interim = next == '1';
                }
                lineLength++;
            }
        }
        return false;
    }

    private void endLine() {
        boolean blank = lineLength == 0;
        lineLength = 0;
        if (!blank) {
            statusLine = false;
        } else if (interim) {
            expectHead();
        } else if (!statusLine) {
            inHead = false;
        }
    }
}
