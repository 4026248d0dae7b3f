package org.bergamothoist.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class StandInHttpServerTest {

    private static final int EVENTS = 20_000;
    private static final String PADDING = "x".repeat(1_000);

    private final AtomicBoolean held = new AtomicBoolean();
    private int sent;

    /** Guards against a stream that buffers without bound or stalls behind a slow reader. */
    @Test
    void sendsOnlyWhatTheReaderTakes() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StandInHttpServer server = StandInHttpServer.start(group, this::stream)) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(server.address())).build();
            HttpResponse<InputStream> response =
                    HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.ofInputStream());
            await().untilTrue(held);
            assertThat(server.call(() -> sent)).isLessThan(EVENTS);
            String whole = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(whole.lines().filter(line -> line.startsWith("id: "))).hasSize(EVENTS);
            assertThat(whole).contains("id: " + (EVENTS - 1) + "\n");
        } finally {
            group.shutdownGracefully();
        }
    }

    private void stream(StandInRequest request, StandInResponse response) {
        StandInEventStream stream = response.events();
        stream.onWritable(() -> pump(stream));
        pump(stream);
    }

    private void pump(StandInEventStream stream) {
        while (sent < EVENTS && stream.writable()) {
            stream.send("piece", sent++, PADDING);
        }
        if (sent == EVENTS) {
            stream.end();
            return;
        }
        held.set(true);
    }
}
