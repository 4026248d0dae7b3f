package org.bergamothoist.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerSentEventBufferTest {

    private static String add(ServerSentEventBuffer buffer, String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        ByteBuf events = buffer.add(bytes);
        try {
            return events.toString(StandardCharsets.US_ASCII);
        } finally {
            events.release();
            bytes.release();
        }
    }

    /** Guards against a search that begins anew with each piece, so that it stops the process. */
    @Test
    @Timeout(value = 10, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void workIsLinearInTheBytesOfAnEventThatComesInSmallPieces() {
        ServerSentEventBuffer buffer = new ServerSentEventBuffer();
        while (!buffer.isOversized()) {
            assertThat(add(buffer, buffer.pendingBytes() % 3 == 2 ? "\n" : "a")).isEmpty();
        }
    }

    /** Guards against an end of an event that is missed where its bytes arrive in two pieces. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 7\ndata: a\n\nid: 8\nda", "id: 7\r\ndata: a\r\n\r\nid: 8\r\nda"})
    void completeEventsAreReturnedWhereverTheirBytesAreSplit(String text) {
        int complete = text.indexOf("id: 8");
        for (int split = 0; split <= text.length(); split++) {
            ServerSentEventBuffer buffer = new ServerSentEventBuffer();
            String events = add(buffer, text.substring(0, split));
            events += add(buffer, text.substring(split));
            assertThat(events).as("split at %d", split).isEqualTo(text.substring(0, complete));
            assertThat(buffer.lastEventId()).contains("7");
        }
    }
}
