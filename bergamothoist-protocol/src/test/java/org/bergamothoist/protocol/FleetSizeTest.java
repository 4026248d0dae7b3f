package org.bergamothoist.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerSnapshot;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FleetSizeTest {

    private static final int DAEMONS = 420;
    private static final int ORGANISATIONS = 6_100;
    private static final int SERVERS = 3_500;
    private static final int DEMANDS_OF_A_DAEMON = 80;
    private static final int BUSY_TARGETS_OF_A_DAEMON = 300;
    private static final int MAXIMUM_HEARTBEAT_BYTES = 600;
    private static final double MAXIMUM_BYTES_EACH_SECOND = 2_000;
    private static final int MEASURED_SECONDS = 4;

    private enum Scenario {
        QUIET_LOG,
        BUSY_LOG,
        LOST_DATA_CENTRE,
        SKEWED_CLOCKS
    }

    private final Random random = new Random(4301);

    /**
     * Guards against heartbeats that outgrow their budget with the fleet, and against news that
     * travel too slowly for the majority rule of configuration freshness.
     */
    @ParameterizedTest
    @EnumSource(Scenario.class)
    void eachDaemonHearsOfAMajorityWithinTheBudget(Scenario scenario) {
        SimulatedFleet fleet = new SimulatedFleet(DAEMONS, 4302, MembershipSettings.defaults());
        fleet.members.forEach(this::addLoad);
        if (scenario == Scenario.SKEWED_CLOCKS) {
            fleet.members.forEach(
                    member -> member.skew = Duration.ofMillis(random.nextInt(-10, 11)));
        }
        fleet.start();
        fleet.run(Duration.ofSeconds(6));
        if (scenario == Scenario.LOST_DATA_CENTRE) {
            fleet.members.stream()
                    .filter(member -> member.self.dataCentre().equals("dc-0"))
                    .forEach(SimulatedFleet.Member::crash);
            fleet.run(Duration.ofSeconds(3));
        }
        fleet.resetCounts();
        List<Long> live = new ArrayList<>();
        List<Long> ages = new ArrayList<>();
        for (int step = 0; step < MEASURED_SECONDS * 10; step++) {
            if (scenario == Scenario.BUSY_LOG) {
                fleet.members.forEach(member -> member.appliedOffset += random.nextInt(20, 40));
            }
            fleet.run(Duration.ofMillis(100));
            if (step % 5 == 4) {
                fleet.members.stream()
                        .filter(member -> !member.dead)
                        .forEach(member -> observe(member.membership.peers(), live, ages));
            }
        }
        long running = fleet.members.stream().filter(member -> !member.dead).count();
        double bytes = fleet.bytes / (double) MEASURED_SECONDS / running;
        report(scenario, live, ages, bytes, fleet.largestHeartbeat);
        assertThat(bytes).isLessThanOrEqualTo(MAXIMUM_BYTES_EACH_SECOND);
        assertThat(fleet.largestHeartbeat).isLessThanOrEqualTo(MAXIMUM_HEARTBEAT_BYTES);
        assertThat(live).allSatisfy(peers -> assertThat(peers + 1).isGreaterThan(DAEMONS / 2));
    }

    private void addLoad(SimulatedFleet.Member member) {
        for (int count = 0; count < DEMANDS_OF_A_DAEMON; count++) {
            String name = "organisation-" + random.nextInt(ORGANISATIONS);
            member.demand.put(new OrganisationId(name), 1 + random.nextInt(20));
        }
        for (int count = 0; count < BUSY_TARGETS_OF_A_DAEMON; count++) {
            member.outstanding.put(
                    new TargetId("engine-" + random.nextInt(SERVERS)),
                    new Outstanding(random.nextInt(20_000), 1 + random.nextInt(3)));
        }
    }

    private static void observe(List<PeerSnapshot> peers, List<Long> live, List<Long> ages) {
        live.add(peers.stream().filter(PeerSnapshot::live).count());
        peers.forEach(peer -> ages.add(peer.informationAge().toMillis()));
    }

    private static void report(
            Scenario scenario, List<Long> live, List<Long> ages, double bytes, int largest) {
        ages.sort(null);
        System.out.printf(
                "%s: live peers mean %.1f least %d; age of news median %d ms, 99%% %d ms;"
                        + " %.0f bytes/s sent, largest heartbeat %d bytes%n",
                scenario,
                live.stream().mapToLong(Long::longValue).average().orElse(0),
                live.stream().mapToLong(Long::longValue).min().orElse(0),
                ages.get(ages.size() / 2),
                ages.get(ages.size() * 99 / 100),
                bytes,
                largest);
    }
}
