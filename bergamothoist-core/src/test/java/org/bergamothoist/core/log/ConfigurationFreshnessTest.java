package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.ConfigurationState.FRESH;
import static org.bergamothoist.core.log.ConfigurationState.LOG_OUTAGE;
import static org.bergamothoist.core.log.ConfigurationState.NONE;
import static org.bergamothoist.core.log.ConfigurationState.STALE;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationFreshness.OwnView;
import org.bergamothoist.core.log.ConfigurationFreshness.PeerView;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationFreshnessTest {

    private static final Duration LONG_AGO = Duration.ofSeconds(Long.MAX_VALUE);
    private static final List<RosterMember> ROSTER_OF_SIX =
            IntStream.range(0, 6).mapToObj(index -> member(name(index), 1)).toList();

    private static String name(int index) {
        return "d" + index;
    }

    private static RosterMember member(String name, long incarnation) {
        return new RosterMember(daemon(name, incarnation), "vm", name, name, "biel-a", 1, 6);
    }

    private static OwnView own(long offset, long confirmedMillis, boolean reachable) {
        return new OwnView(
                daemon(name(0), 1),
                offset,
                Optional.of(Duration.ofMillis(confirmedMillis)),
                reachable);
    }

    private static PeerView peer(DaemonId daemon, long offset, Duration confirmed, long ageMillis) {
        return new PeerView(daemon, offset, confirmed, Duration.ofMillis(ageMillis));
    }

    private static List<PeerView> peers(int count, long offset, Duration confirmed, long age) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(index -> peer(daemon(name(index), 1), offset, confirmed, age))
                .toList();
    }

    private static ConfigurationState evaluate(OwnView own, List<PeerView> peers) {
        return ConfigurationFreshness.evaluate(own, ROSTER_OF_SIX, peers);
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0, true, 0, NONE",
        "5, 3000, true, 0, FRESH",
        "5, 3001, true, 5, STALE",
        "5, 3001, false, 3, LOG_OUTAGE",
        "5, 3001, false, 2, STALE",
    })
    @DisplayName("guards against serving under a configuration that nobody has confirmed")
    void evaluatesOwnConfirmationAndMajority(
            long offset,
            long confirmed,
            boolean reachable,
            int peers,
            ConfigurationState expected) {
        assertThat(evaluate(own(offset, confirmed, reachable), peers(peers, 5, LONG_AGO, 3_000)))
                .isEqualTo(expected);
    }

    @Test
    @DisplayName("guards against a 4/2 partition in which the minority keeps serving")
    void onlyMajorityOfPartitionServes() {
        assertThat(evaluate(own(5, 4_000, false), peers(3, 5, LONG_AGO, 500)))
                .isEqualTo(LOG_OUTAGE);
        assertThat(evaluate(own(5, 4_000, false), peers(1, 5, LONG_AGO, 500))).isEqualTo(STALE);
    }

    @Test
    @DisplayName("guards against outdated messages counting towards the majority")
    void outdatedViewsDoNotCount() {
        assertThat(evaluate(own(5, 4_000, false), peers(5, 5, LONG_AGO, 3_001))).isEqualTo(STALE);
    }

    @ParameterizedTest
    @CsvSource({"6, 9000, STALE", "5, 2500, FRESH", "5, 2501, LOG_OUTAGE", "4, 2500, STALE"})
    @DisplayName(
            "guards against serving while a peer has newer records, and against refusals as an"
                    + " outage begins")
    void freshOrNewerPeerDecides(long offset, long confirmed, ConfigurationState expected) {
        List<PeerView> views = new ArrayList<>(peers(3, 5, LONG_AGO, 500));
        views.add(peer(daemon("d4", 1), offset, Duration.ofMillis(confirmed), 500));
        assertThat(evaluate(own(5, 4_000, false), views)).isEqualTo(expected);
    }

    @Test
    @DisplayName("guards against counting restarted daemons, which may be at older offsets")
    void countsOnlyIncarnationsInRoster() {
        List<PeerView> views =
                IntStream.rangeClosed(1, 3)
                        .mapToObj(index -> peer(daemon(name(index), 2), 5, LONG_AGO, 0))
                        .toList();
        assertThat(evaluate(own(5, 4_000, false), views)).isEqualTo(STALE);
        OwnView restarted = new OwnView(daemon("d0", 2), 5, Optional.empty(), false);
        assertThat(evaluate(restarted, peers(3, 5, LONG_AGO, 0))).isEqualTo(STALE);
        assertThat(evaluate(restarted, peers(4, 5, LONG_AGO, 0))).isEqualTo(LOG_OUTAGE);
    }

    @Test
    @DisplayName("guards against serving without any configuration")
    void noneBeforeAnyRecord() {
        assertThat(evaluate(new OwnView(daemon("d0", 1), 0, Optional.empty(), false), List.of()))
                .isEqualTo(NONE);
        assertThat(evaluate(own(5, 0, true), List.of())).isEqualTo(FRESH);
    }
}
