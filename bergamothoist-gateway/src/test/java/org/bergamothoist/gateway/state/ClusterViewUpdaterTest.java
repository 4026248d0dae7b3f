package org.bergamothoist.gateway.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.GatewayException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which of two records of a key states the later state. */
class ClusterViewUpdaterTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<String> logged = new ArrayList<>();
    private final ClusterView clusterView =
            ClusterView.empty(new DaemonId("daemon-1", 1), time, Duration.ofSeconds(1));
    private final ClusterViewUpdater updater =
            new ClusterViewUpdater(
                    clusterView,
                    new TextDecoder(),
                    null,
                    null,
                    time,
                    null,
                    (kind, subject, inputs, outcome) -> logged.add(outcome));

    /** Decodes versions, and registrations as start and report number with a dot in between. */
    private static final class TextDecoder implements RecordDecoder {

        private static String text(byte[] value) {
            return new String(value, StandardCharsets.UTF_8);
        }

        @Override
        public boolean isConfigurationKey(String key) {
            return key.equals("config");
        }

        @Override
        public Optional<RouteConfiguration> configuration(byte[] value) {
            if (text(value).equals("malformed")) {
                throw new GatewayException(ErrorCode.INVALID_SETTINGS, "malformed field");
            }
            return number(value)
                    .map(
                            version ->
                                    new RouteConfiguration(
                                            version,
                                            List.of(),
                                            List.of(),
                                            Optional.empty(),
                                            new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO)));
        }

        private static Optional<Integer> number(byte[] value) {
            return Optional.of(text(value))
                    .filter(text -> text.matches("\\d+"))
                    .map(Integer::valueOf);
        }

        @Override
        public Optional<DesiredWeights> desiredWeights(String key, byte[] value) {
            return number(value).map(version -> new DesiredWeights(key, version));
        }

        @Override
        public Optional<Registration> registration(String key, byte[] value) {
            if (text(value).equals("odd")) {
                return Optional.empty();
            }
            String[] parts = text(value).split("\\.");
            return Optional.of(
                    new Registration(
                            target(key, Long.parseLong(parts[0])), Long.parseLong(parts[1])));
        }

        @Override
        public Optional<String> daemonAddress(byte[] value) {
            return Optional.empty();
        }

        @Override
        public Optional<Fingerprint> quarantinedContentKey(String key) {
            return Optional.empty();
        }

        @Override
        public Optional<QuarantinedContent> quarantinedContent(Fingerprint content, byte[] value) {
            return Optional.empty();
        }
    }

    private static RegisteredTarget target(String id, long start) {
        return new RegisteredTarget(
                new TargetIncarnation(id, Instant.ofEpochMilli(start)),
                "service",
                "10.0.0.1:80",
                "a",
                6,
                false,
                Map.of());
    }

    private static FeedRecord record(String key, String value) {
        return new FeedRecord(
                key,
                0,
                Optional.ofNullable(value).map(text -> text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Guards against a configuration or version that goes back to what the store's copy has, and
     * against a readable record that an unreadable one replaces. A deletion stands.
     */
    @ParameterizedTest
    @CsvSource({
        "config,3,9,true",
        "config,9,9,false",
        "config,9,3,false",
        "config,odd,9,true",
        "config,malformed,9,true",
        "config,9,malformed,false",
        "config,odd,malformed,false",
        "config,,9,false",
        "config,9,,false",
        "version/m,3,9,true",
        "version/m,9,9,false",
        "version/m,10,9,false",
        "version/m,odd,9,true",
        "version/m,9,odd,false",
    })
    void comparesOperatorsRecordsByVersion(
            String key, String value, String other, boolean earlier) {
        assertThat(updater.isEarlierState(Feed.OPERATOR, record(key, value), record(key, other)))
                .isEqualTo(earlier);
        assertThat(updater.isEarlierState(Feed.DAEMONS, record(key, value), record(key, other)))
                .isFalse();
    }

    /** Guards against a server that left, or restarted, and is used as the copy lists it. */
    @ParameterizedTest
    @CsvSource({
        "10.6,10.7,true",
        "10.7,10.7,false",
        "10.8,10.7,false",
        "9.8,10.7,true",
        "11.1,10.7,false",
        "odd,10.7,false",
        "10.7,odd,false",
        ",10.7,false",
    })
    void comparesRegistrationsByStartAndReport(String value, String other, boolean earlier) {
        assertThat(updater.isEarlierState(Feed.TARGETS, record("t", value), record("t", other)))
                .isEqualTo(earlier);
    }

    @ParameterizedTest
    @CsvSource({"10.7,true", "10.8,false"})
    void registrationThatWasKnownAtItsEndIsEarlierThanTheDeletion(String value, boolean earlier) {
        FeedRecord deletion = record("t", null);
        assertThat(updater.isEarlierState(Feed.TARGETS, record("t", value), deletion)).isFalse();
        clusterView.targets().register(target("t", 10), 7);
        clusterView.targets().remove("t");
        assertThat(updater.isEarlierState(Feed.TARGETS, record("t", value), deletion))
                .isEqualTo(earlier);
    }

    /** Guards against one record that keeps all others of a listing from being applied. */
    @Test
    void recordThatCannotBeDecodedIsLogged() {
        assertThat(updater.isEarlierState(Feed.TARGETS, record("t", "x.y"), record("t", "10.7")))
                .isFalse();
        assertThat(logged).containsExactly("not compared");
    }
}
