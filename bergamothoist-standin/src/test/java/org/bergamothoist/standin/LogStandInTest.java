package org.bergamothoist.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LogStandInTest {

    private final ManualClock clock = new ManualClock();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LogStandIn log =
            new LogStandIn(group, new LogSettings(3, Duration.ofMinutes(1), 5), clock);
    private final TestClient client = new TestClient(log.port());

    @AfterEach
    void close() {
        log.close();
        group.shutdownGracefully();
    }

    /** Guards against offsets or payloads that differ from the published form. */
    @Test
    void returnsAppendedRecordsInOrder() {
        assertThat(append(1).json().get("offset").asLong()).isEqualTo(1);
        assertThat(append(2).status()).isEqualTo(201);
        JsonNode page = client.get("/records?from=2&maximum=10").json();
        assertThat(page.get("first_retained_offset").asLong()).isEqualTo(1);
        assertThat(page.get("end_offset").asLong()).isEqualTo(3);
        assertThat(page.get("records")).hasSize(1);
        JsonNode record = page.get("records").get(0);
        assertThat(record.get("offset").asLong()).isEqualTo(2);
        assertThat(record.get("append_time").asText()).isEqualTo("2026-01-01T00:00:00Z");
        assertThat(Base64.getDecoder().decode(record.get("payload").asText())).containsExactly(2);
    }

    /** Guards against append times that go back with the clock. */
    @Test
    void keepsAppendTimesFromDecreasing() {
        log.append(new byte[] {1});
        clock.advance(Duration.ofSeconds(-5));
        log.append(new byte[] {2});
        assertThat(log.records().get(1).appendTime()).isEqualTo(log.records().get(0).appendTime());
    }

    /** Guards against a log that keeps everything, so that lost history goes untested. */
    @ParameterizedTest
    @MethodSource("expiries")
    void expiresRecords(Consumer<LogStandInTest> cause, long firstRetained) {
        log.append(new byte[] {1});
        cause.accept(this);
        JsonNode page = client.get("/records?from=1&maximum=10").json();
        assertThat(page.get("first_retained_offset").asLong()).isEqualTo(firstRetained);
    }

    static Stream<Arguments> expiries() {
        Consumer<LogStandInTest> byTime = test -> test.clock.advance(Duration.ofSeconds(61));
        Consumer<LogStandInTest> byCount =
                test -> {
                    for (int index = 0; index < 5; index++) {
                        test.log.append(new byte[1]);
                    }
                };
        return Stream.of(Arguments.of(byTime, 2L), Arguments.of(byCount, 2L));
    }

    /** Guards against an unlimited append rate, which the platform does not offer. */
    @Test
    void refusesAppendsBeyondTheRate() {
        assertThat(Stream.of(1, 2, 3, 4).map(this::append).map(TestClient.Answer::status))
                .containsExactly(201, 201, 201, 429);
        clock.advance(Duration.ofSeconds(1));
        assertThat(append(5).status()).isEqualTo(201);
    }

    /** Guards against faults that hit the wrong calls or that outlast recovery. */
    @ParameterizedTest
    @MethodSource("refusals")
    void refusesCalls(Consumer<LogStandIn> fault, int appendStatus, int readStatus) {
        fault.accept(log);
        assertThat(append(1).status()).isEqualTo(appendStatus);
        assertThat(client.get("/records?from=1&maximum=1").status()).isEqualTo(readStatus);
        log.recover();
        assertThat(append(2).status()).isEqualTo(201);
        assertThat(log.endOffset()).isEqualTo(appendStatus == 201 ? 3 : 2);
    }

    static Stream<Arguments> refusals() {
        Consumer<LogStandIn> down = LogStandIn::down;
        Consumer<LogStandIn> reads = log -> log.refuseReads(true);
        Consumer<LogStandIn> appends = log -> log.refuseAppends(true);
        return Stream.of(
                Arguments.of(down, 503, 503),
                Arguments.of(reads, 201, 503),
                Arguments.of(appends, 503, 200));
    }

    /** Guards against a lost answer whose append is lost too. */
    @Test
    void losesAnswersOfAppendsThatTookEffect() {
        log.loseNextAnswers(1);
        assertThatThrownBy(() -> append(1)).isInstanceOf(UncheckedIOException.class);
        assertThat(log.endOffset()).isEqualTo(2);
        assertThat(append(2).status()).isEqualTo(201);
    }

    /** Guards against a delayed append that takes effect at once. */
    @Test
    void delaysTheEffectOfAppends() {
        AtomicInteger received = new AtomicInteger();
        log.partition(request -> received.incrementAndGet() < 0);
        log.delayNextAppends(1, Duration.ofMinutes(1));
        CompletableFuture.supplyAsync(() -> append(1));
        await().until(() -> received.get() == 1);
        assertThat(append(2).json().get("offset").asLong()).isEqualTo(1);
    }

    /** Guards against a delayed append that never takes effect. */
    @Test
    void appendsAfterTheDelay() {
        log.delayNextAppends(1, Duration.ofMillis(20));
        assertThat(append(1).json().get("offset").asLong()).isEqualTo(1);
    }

    /** Guards against slowness that loses or repeats an append. */
    @Test
    void answersSlowly() {
        log.slow(Duration.ofMillis(20));
        assertThat(append(1).status()).isEqualTo(201);
        assertThat(client.get("/records?from=1&maximum=1").json().get("records")).hasSize(1);
    }

    /** Guards against a partition that cuts off every client. */
    @Test
    void cutsOffChosenClients() {
        log.partition(request -> request.header("User-Agent").orElse("").equals("entry-1"));
        assertThatThrownBy(() -> read("entry-1"))
                .isInstanceOf(UncheckedIOException.class)
                .hasCauseInstanceOf(IOException.class);
        assertThat(read("entry-2").status()).isEqualTo(200);
    }

    /** Guards against records over the bound that the log publishes. */
    @Test
    void refusesLargeRecords() {
        byte[] record = new byte[LogStandIn.MAXIMUM_RECORD_BYTES + 1];
        assertThat(client.call("POST", "/records", record, Map.of()).status()).isEqualTo(413);
    }

    private TestClient.Answer read(String agent) {
        return client.call("GET", "/records", new byte[0], Map.of("User-Agent", agent));
    }

    private TestClient.Answer append(int value) {
        return client.call("POST", "/records", new byte[] {(byte) value}, Map.of());
    }

    /**
     * Guards against a stand-in that keeps all records, so that a return from a copy is untested.
     */
    @Test
    void givesOffsetsOutAgainAfterRecordsAreLost() {
        append(1);
        append(2);
        log.loseRecordsFrom(2);
        assertThat(log.endOffset()).isEqualTo(2);
        assertThat(append(3).json().get("offset").asLong()).isEqualTo(2);
        assertThat(log.records().get(1).payload()).containsExactly(3);
    }
}
