package org.bergamothoist.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerSnapshot;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Heartbeat;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.RosterDigest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration LIVE_WITHIN = Duration.ofSeconds(3);

    private final SimulatedFleet fleet = new SimulatedFleet(6, 4401, MembershipSettings.defaults());
    private final SimulatedFleet.Member first = fleet.members.get(0);
    private final SimulatedFleet.Member last = fleet.members.get(5);

    /** Guards against partial views in the fleets that run today. */
    @Test
    void smallFleetHearsAllOfAllDirectly() {
        last.demand.put(new OrganisationId("clinic"), 7);
        first.demand.put(new OrganisationId("clinic"), 2);
        last.outstanding.put(new TargetId("engine-1"), new Outstanding(4_000, 1));
        fleet.members.get(4).outstanding.put(new TargetId("engine-1"), new Outstanding(500, 2));
        startAndRun();
        assertThat(first.membership.liveDaemons()).hasSize(6);
        assertThat(first.membership.servingMembers()).hasSize(6);
        assertThat(first.membership.peers())
                .allSatisfy(
                        peer -> {
                            assertThat(peer.appliedOffset()).isEqualTo(1_000_000);
                            assertThat(peer.informationAge()).isLessThanOrEqualTo(LIVE_WITHIN);
                        });
        assertThat(first.membership.demand()).isEqualTo(Map.of(new OrganisationId("clinic"), 9));
        assertThat(first.membership.peerOutstanding())
                .isEqualTo(Map.of(new TargetId("engine-1"), new Outstanding(4_500, 3)));
    }

    /** Guards against daemons that place long prompts at an engine that has just got one. */
    @Test
    void announcedLoadReachesAllPeersOfASmallFleetAtOnce() {
        startAndRun();
        last.outstanding.put(new TargetId("engine-1"), new Outstanding(48_000, 1));
        last.membership.announceLoad();
        fleet.run(Duration.ofMillis(5));
        assertThat(fleet.members.subList(0, 5))
                .allSatisfy(
                        member ->
                                assertThat(member.membership.peerOutstanding())
                                        .containsEntry(
                                                new TargetId("engine-1"),
                                                new Outstanding(48_000, 1)));
    }

    /** Guards against announcements above the bound of a large fleet's traffic. */
    @Test
    void announcesNoLoadInALargeFleet() {
        SimulatedFleet larger = new SimulatedFleet(40, 4405, MembershipSettings.defaults());
        larger.members.get(0).membership.announceLoad();
        assertThat(larger.heartbeats).isZero();
    }

    /** Guards against work that has ended but is still counted. */
    @Test
    void endedWorkIsNoLongerReported() {
        last.outstanding.put(new TargetId("engine-1"), new Outstanding(4_000, 1));
        startAndRun();
        last.outstanding.clear();
        fleet.run(SECOND.multipliedBy(2));
        Outstanding left =
                first.membership
                        .peerOutstanding()
                        .getOrDefault(new TargetId("engine-1"), new Outstanding(0, 0));
        assertThat(left).isEqualTo(new Outstanding(0, 0));
    }

    /** Guards against callers that are sent to a crashed daemon. */
    @Test
    void crashedDaemonIsNotLiveAfterThreeSeconds() {
        startAndRun();
        last.crash();
        fleet.run(LIVE_WITHIN.plusMillis(300));
        for (SimulatedFleet.Member member : fleet.members.subList(0, 5)) {
            assertThat(member.membership.liveDaemons()).hasSize(5);
            assertThat(member.membership.servingMembers()).doesNotContain(last.self);
        }
    }

    /** Guards against a daemon that stops and is still named to callers. */
    @Test
    void leavingDaemonIsLiveButNotServingAtOnceAfterItsAnnouncement() {
        startAndRun();
        last.status = DaemonStatus.LEAVING;
        last.membership.announce();
        fleet.run(Duration.ofMillis(5));
        assertThat(first.membership.liveDaemons()).contains(last.self.daemon());
        assertThat(first.membership.servingMembers()).doesNotContain(last.self);
    }

    /**
     * Guards against an old "serving" that overrides "leaving", and against going back in the log.
     */
    @Test
    void duplicatesAndReorderedHeartbeatsChangeNothing() {
        startAndRun();
        last.membership.stop();
        Heartbeat newer = heartbeat(DaemonStatus.LEAVING, 1_000, 2_000_000, Duration.ZERO);
        Heartbeat older = heartbeat(DaemonStatus.SERVING, 999, 1_500_000, Duration.ZERO);
        first.membership.onHeartbeat(last.self.daemon(), newer, first.clock());
        fleet.run(SECOND.multipliedBy(2));
        Duration age = viewOfLast().informationAge();
        first.membership.onHeartbeat(last.self.daemon(), older, first.clock());
        first.membership.onHeartbeat(last.self.daemon(), newer, first.clock());
        assertThat(viewOfLast().status()).isEqualTo(DaemonStatus.LEAVING);
        assertThat(viewOfLast().appliedOffset()).isEqualTo(2_000_000);
        assertThat(viewOfLast().informationAge()).isGreaterThanOrEqualTo(age);
    }

    /** Guards against a late heartbeat of the run before a restart. */
    @Test
    void olderIncarnationNeverOverridesANewerOne() {
        startAndRun();
        last.crash();
        DaemonId newer = new DaemonId(last.self.daemon().name(), 2);
        Heartbeat heartbeat = heartbeat(DaemonStatus.SERVING, 5_000, 1, Duration.ZERO);
        first.membership.onHeartbeat(newer, heartbeat, first.clock());
        first.membership.onHeartbeat(last.self.daemon(), heartbeat, first.clock());
        assertThat(first.membership.liveDaemons()).doesNotContain(last.self.daemon());
        RosterMember restarted =
                new RosterMember(
                        newer,
                        last.self.virtualMachine(),
                        last.self.peerAddress(),
                        last.self.callerAddress(),
                        last.self.dataCentre(),
                        99,
                        1);
        first.known = List.of(first.self, restarted);
        assertThat(first.membership.liveDaemons()).contains(newer);
    }

    /** Guards against a heartbeat from before a pause that makes its sender look current. */
    @Test
    void heartbeatThatWasHeldUpCountsFromItsMaking() {
        startAndRun();
        last.crash();
        fleet.run(SECOND.multipliedBy(10));
        Heartbeat held =
                heartbeat(DaemonStatus.SERVING, 9_000, 1, Duration.ZERO)
                        .delayedBy(LIVE_WITHIN.plusMillis(1));
        first.membership.onHeartbeat(last.self.daemon(), held, first.clock());
        assertThat(viewOfLast().live()).isFalse();
        Heartbeat posted = heartbeat(DaemonStatus.SERVING, 9_001, 1, Duration.ZERO);
        first.membership.onHeartbeat(
                last.self.daemon(), posted, first.clock().minus(LIVE_WITHIN).minusMillis(1));
        assertThat(viewOfLast().live()).isFalse();
    }

    /** Guards against two halves that keep each other live by repeating old news. */
    @Test
    void newsOfTheOtherSideOfAPartitionExpire() {
        startAndRun();
        for (SimulatedFleet.Member member : fleet.members) {
            boolean left = fleet.members.indexOf(member) < 3;
            fleet.roster.stream()
                    .filter(other -> fleet.roster.indexOf(other) < 3 != left)
                    .forEach(other -> member.unreachable.add(other.peerAddress()));
        }
        fleet.run(SECOND.multipliedBy(10));
        fleet.members.forEach(member -> assertThat(member.membership.liveDaemons()).hasSize(3));
        fleet.members.forEach(member -> member.unreachable.clear());
        fleet.run(SECOND.multipliedBy(2));
        fleet.members.forEach(member -> assertThat(member.membership.liveDaemons()).hasSize(6));
    }

    /** Guards against losing sight of a daemon when only the direct way to it is broken. */
    @Test
    void daemonIsLiveThroughOthersWithAgesThatAddUp() {
        startAndRun();
        last.unreachable.add(first.self.peerAddress());
        fleet.run(SECOND.multipliedBy(10));
        assertThat(first.membership.liveDaemons()).contains(last.self.daemon());
    }

    /** Guards against ages that shrink along hops: news are never newer than their subject. */
    @ParameterizedTest
    @ValueSource(ints = {6, 40})
    void newsAreNeverNewerThanTheLastHeartbeatMade(int daemons) {
        SimulatedFleet larger = new SimulatedFleet(daemons, 4402, MembershipSettings.defaults());
        larger.start();
        larger.run(SECOND.multipliedBy(4));
        SimulatedFleet.Member silent = larger.members.get(daemons - 1);
        silent.crash();
        Random random = new Random(4403);
        Duration silence = Duration.ZERO;
        for (int step = 0; step < 100; step++) {
            Duration time = Duration.ofMillis(random.nextInt(80));
            larger.run(time);
            silence = silence.plus(time);
            for (SimulatedFleet.Member member : larger.members.subList(0, daemons - 1)) {
                PeerSnapshot view = view(member, silent.self.daemon());
                assertThat(view.informationAge()).isGreaterThanOrEqualTo(silence);
            }
        }
    }

    /** Guards against a daemon that is ahead, or was lately confirmed, and goes unnoticed. */
    @Test
    void someViewShowsTheHighestOffsetAndTheLatestConfirmation() {
        SimulatedFleet larger = new SimulatedFleet(40, 4404, MembershipSettings.defaults());
        Random random = new Random(4405);
        for (SimulatedFleet.Member member : larger.members) {
            member.appliedOffset = random.nextInt(1_000_000);
            member.confirmedAge = Duration.ofSeconds(100);
        }
        larger.members.get(7).appliedOffset = 1_000_001;
        larger.members.get(8).confirmedAge = SECOND;
        larger.start();
        larger.run(SECOND.multipliedBy(6));
        for (SimulatedFleet.Member member : larger.members) {
            List<PeerSnapshot> peers = member.membership.peers();
            if (member != larger.members.get(7)) {
                assertThat(peers).anyMatch(peer -> peer.appliedOffset() == 1_000_001);
            }
            if (member != larger.members.get(8)) {
                assertThat(peers).anyMatch(peer -> peer.confirmedAge().compareTo(LIVE_WITHIN) <= 0);
            }
            assertThat(peers)
                    .allSatisfy(
                            peer ->
                                    assertThat(peer.appliedOffset())
                                            .isLessThanOrEqualTo(offset(larger, peer)));
        }
    }

    /** Guards against daemons that cannot find each other while the log is down at the start. */
    @Test
    void platformListBootstrapsPeersBeforeTheRosterIsKnown() {
        fleet.members.forEach(member -> member.known = List.of());
        startAndRun();
        first.known = fleet.roster;
        assertThat(first.membership.liveDaemons()).hasSize(6);
    }

    /** Guards against a leaving mark that stays with the daemon that saw it. */
    @Test
    void leavingTargetsAreHandedOn() {
        last.leaving.add(new TargetId("engine-3"));
        startAndRun();
        assertThat(first.heardLeaving).containsExactly(new TargetId("engine-3"));
    }

    /** Guards against heartbeats over their bound, with long names and figures of any size. */
    @Property(tries = 30, seed = "4406")
    void heartbeatsKeepTheirBound(@ForAll long seed) {
        Random random = new Random(seed);
        int daemons = 2 + random.nextInt(30);
        SimulatedFleet loaded = new SimulatedFleet(daemons, seed, MembershipSettings.defaults());
        for (SimulatedFleet.Member member : loaded.members) {
            String name = random.nextBoolean() ? "مسجد" : "clinic";
            for (int count = random.nextInt(60); count > 0; count--) {
                String text = name.repeat(1 + random.nextInt(20)) + count;
                member.demand.put(new OrganisationId(text), random.nextInt(1 << 30));
                member.outstanding.put(
                        new TargetId(text),
                        new Outstanding(random.nextInt(1 << 30), random.nextInt(1 << 30)));
                member.leaving.add(new TargetId(text));
            }
            member.appliedOffset = random.nextLong(1L << 50);
            member.status = DaemonStatus.values()[random.nextInt(3)];
        }
        loaded.start();
        loaded.run(SECOND.multipliedBy(3));
        assertThat(loaded.largestHeartbeat).isLessThanOrEqualTo(daemons > 9 ? 446 : 600);
    }

    private void startAndRun() {
        fleet.start();
        fleet.run(SECOND.multipliedBy(3));
    }

    private PeerSnapshot viewOfLast() {
        return view(first, last.self.daemon());
    }

    private static PeerSnapshot view(SimulatedFleet.Member member, DaemonId daemon) {
        return member.membership.peers().stream()
                .filter(peer -> peer.daemon().equals(daemon))
                .findFirst()
                .orElseThrow();
    }

    private static long offset(SimulatedFleet fleet, PeerSnapshot peer) {
        return fleet.members.stream()
                .filter(member -> member.self.daemon().equals(peer.daemon()))
                .findFirst()
                .orElseThrow()
                .appliedOffset;
    }

    private static Heartbeat heartbeat(
            DaemonStatus status, long sequence, long offset, Duration age) {
        return new Heartbeat(
                status,
                sequence,
                age,
                offset,
                Duration.ZERO,
                Map.of(),
                List.of(),
                Map.of(),
                true,
                RosterDigest.empty());
    }
}
