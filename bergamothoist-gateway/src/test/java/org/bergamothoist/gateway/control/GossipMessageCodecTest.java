package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.gateway.GatewayException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests positions in messages between daemons. */
class GossipMessageCodecTest {

    /** Guards against a position that precedes all records and arrives as one that does not. */
    @ParameterizedTest
    @CsvSource({"0,0,0,0", "3,17,4,-2", "0,-9223372036854775808,999999,9223372036854775807"})
    void requestKeepsErasAndOffsets(
            long operatorEra, long operatorOffset, long targetsEra, long targetsOffset) {
        var request =
                new GossipMessageCodec.RelayRequest(
                        new LogPosition(operatorEra, operatorOffset),
                        new LogPosition(targetsEra, targetsOffset),
                        true);
        assertThat(GossipMessageCodec.decodeRelayRequest(GossipMessageCodec.encode(request)))
                .isEqualTo(request);
    }

    private static GossipMessageCodec.RelayedFeed feed(long era, long offset) {
        LogPosition position = new LogPosition(era, offset);
        return new GossipMessageCodec.RelayedFeed(
                List.of(new FeedRecord("k", position, Optional.empty())),
                Optional.of(Duration.ofMillis(7)),
                Optional.of(position));
    }

    /** Guards against records of one feed that get the era of the other one, or none. */
    @ParameterizedTest
    @CsvSource({"0,4,0,5", "3,17,4,-2", "4,0,3,-3", "2,-2,0,8"})
    void responseKeepsEraOfEachFeed(
            long operatorEra, long operatorOffset, long targetsEra, long targetsOffset) {
        var response =
                new GossipMessageCodec.RelayResponse(
                        feed(operatorEra, operatorOffset),
                        feed(targetsEra, targetsOffset),
                        List.of(),
                        true);
        assertThat(GossipMessageCodec.decodeRelayResponse(GossipMessageCodec.encode(response)))
                .isEqualTo(response);
    }

    @Test
    void feedOfUnknownPositionHasNoPosition() {
        var unknown =
                new GossipMessageCodec.RelayedFeed(List.of(), Optional.empty(), Optional.empty());
        var response = new GossipMessageCodec.RelayResponse(unknown, feed(3, 1), List.of(), false);
        assertThat(GossipMessageCodec.decodeRelayResponse(GossipMessageCodec.encode(response)))
                .isEqualTo(response);
    }

    @Test
    void bytesThatAreNoMessageAreRefused() {
        assertThatThrownBy(() -> GossipMessageCodec.decodeRelayRequest(new byte[] {8}))
                .isInstanceOf(GatewayException.class);
        assertThatThrownBy(() -> GossipMessageCodec.decodeRelayResponse(new byte[] {10, 9}))
                .isInstanceOf(GatewayException.class);
    }
}
