package org.bergamothoist.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteConfigurationTest {

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ZERO,
                0,
                List.of(new WeightedService("one", 90), new WeightedService("two", 10)),
                1,
                false);
    }

    private static RouteConfiguration configuration(long version) {
        return new RouteConfiguration(
                version,
                List.of(
                        route("short", "h.example", "/a/"),
                        route("long", "h.example", "/a/b/"),
                        route("other", "g.example", "/")),
                List.of(),
                Optional.of(
                        List.of(new Organisation("o", List.of("key"), OptionalInt.empty(), false))),
                new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO));
    }

    @ParameterizedTest
    @CsvSource({
        "h.example,/a/x,short",
        "h.example,/a/b/x?q=/z,long",
        "H.EXAMPLE:8080,/a/b/,long",
        "h.example,/a,none",
        "h.example,/x?/a/,none",
        "g.example,/a/b/,other",
        "i.example,/a/,none",
    })
    void choosesLongestMatchingPrefixOfHost(String host, String requestTarget, String name) {
        assertThat(configuration(1).route(host, requestTarget).map(Route::name).orElse("none"))
                .isEqualTo(name);
    }

    @ParameterizedTest
    @CsvSource({"0,one", "0.89,one", "0.91,two", "0.999,two"})
    void splitsTrafficByWeight(double randomFraction, String service) {
        assertThat(route("r", "h", "/").selectService(randomFraction)).isEqualTo(service);
    }

    @Test
    void ignoresOlderAndEqualVersions() {
        ConfigurationHolder holder = new ConfigurationHolder();
        assertThat(holder.updateIfNewer(configuration(5))).isTrue();
        assertThat(holder.updateIfNewer(configuration(4))).isFalse();
        assertThat(holder.updateIfNewer(configuration(5))).isFalse();
        assertThat(holder.version()).isEqualTo(5);
    }

    @Test
    void findsOrganisationByCallerKey() {
        assertThat(configuration(1).organisation("key")).isPresent();
        assertThat(configuration(1).organisation("other")).isEmpty();
        assertThat(configuration(1).keysRequired()).isTrue();
    }
}
