package org.bergamothoist.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.gateway.state.ClusterViewUpdater;
import org.bergamothoist.gateway.state.QuarantinedContent;
import org.bergamothoist.gateway.state.RecordDecoder;

/** Decodes the records of the model; the state number of a target is the number of its slots. */
final class StoreModelDecoder implements RecordDecoder {

    private static final CallerLimits LIMITS =
            new CallerLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));

    private static String text(byte[] value) {
        return new String(value, StandardCharsets.UTF_8);
    }

    @Override
    public boolean isConfigurationKey(String key) {
        return key.equals(StoreFallbackModel.CONFIGURATION_KEY);
    }

    @Override
    public Optional<RouteConfiguration> configuration(byte[] value) {
        long version = Long.parseLong(text(value));
        return Optional.of(
                new RouteConfiguration(version, List.of(), List.of(), Optional.empty(), LIMITS));
    }

    @Override
    public Optional<DesiredWeights> desiredWeights(String key, byte[] value) {
        return Optional.of(new DesiredWeights(key, Integer.parseInt(text(value))));
    }

    @Override
    public Optional<Registration> registration(String key, byte[] value) {
        var parsed = StoreFallbackModel.Registration.parse(key, text(value));
        RegisteredTarget target =
                new RegisteredTarget(
                        new TargetIncarnation(key, Instant.ofEpochMilli(parsed.startedAt())),
                        "service",
                        key + ":1",
                        "dc",
                        parsed.state(),
                        parsed.leaving(),
                        Map.of());
        return Optional.of(new Registration(target, parsed.report()));
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

    /** Ignores what registrations tell of crashes. */
    record NoCrashes() implements ClusterViewUpdater.Listener {

        @Override
        public void onTargetStarted(RegisteredTarget target) {}

        @Override
        public void onTargetLeaving(RegisteredTarget target) {}

        @Override
        public void onQuarantined(QuarantinedContent content) {}

        @Override
        public void onReleased(Fingerprint content) {}
    }
}
