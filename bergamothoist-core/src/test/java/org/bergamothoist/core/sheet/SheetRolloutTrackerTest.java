package org.bergamothoist.core.sheet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationFreshness;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.sheet.SheetRolloutTracker.DaemonView;
import org.bergamothoist.core.sheet.SheetStatus.Reach;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class SheetRolloutTrackerTest {

    private static final long SHEET = 10;
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final SheetRolloutTracker reach = new SheetRolloutTracker(time);

    private SheetVerdict verdict(boolean accepted) {
        return new SheetVerdict(
                12, SHEET, "digest", "biel", "operator", accepted, time.instant(), List.of());
    }

    private Reach status(List<RosterMember> roster, List<DaemonView> views) {
        return reach.status(verdict(true), roster, views).reach();
    }

    private static List<RosterMember> roster(int... smallestSince) {
        List<RosterMember> roster = new ArrayList<>();
        for (int smallest : smallestSince) {
            DaemonId daemon = daemon("d" + roster.size(), 1);
            roster.add(new RosterMember(daemon, "vm", "p", "c", "biel-a", 1, smallest));
        }
        return roster;
    }

    private static List<DaemonView> applied(int from, int to, long offset) {
        List<DaemonView> views = new ArrayList<>();
        for (int index = from; index < to; index++) {
            views.add(new DaemonView(daemon("d" + index, 1), offset, Duration.ZERO));
        }
        return views;
    }

    @Test
    @DisplayName(
            "guards against a needless wait, and against reporting a refused sheet as recorded")
    void inForceAtOnceWhenAllApplied() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        assertThat(status(roster, applied(0, 6, SHEET))).isEqualTo(Reach.IN_FORCE);
        assertThat(reach.status(verdict(false), roster, List.of()).reach())
                .isEqualTo(Reach.REFUSED);
    }

    @Test
    @DisplayName("guards against in force before the two of a 4/2 partition have stopped")
    void partitionWaitsForTheMinorityToStop() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        assertThat(status(roster, applied(0, 4, SHEET))).isEqualTo(Reach.RECORDED);
        time.advanceMillis(2_999);
        assertThat(status(roster, applied(0, 4, SHEET))).isEqualTo(Reach.RECORDED);
        time.advanceMillis(1);
        SheetStatus status = reach.status(verdict(true), roster, applied(0, 4, SHEET));
        assertThat(status.reach()).isEqualTo(Reach.IN_FORCE);
        assertThat(status.lagging()).containsExactly(daemon("d4", 1), daemon("d5", 1));
    }

    @Test
    @DisplayName("guards against in force while the lagging side can form a majority")
    void majorityThatLagsBlocks() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        status(roster, applied(0, 2, SHEET));
        time.advance(Duration.ofMinutes(1));
        assertThat(status(roster, applied(0, 2, SHEET))).isEqualTo(Reach.RECORDED);
    }

    @Test
    @DisplayName("guards against joins during a partition hiding that the old roster was small")
    void joinsDuringPartitionDoNotCount() {
        // d0 and d1 lag and still use a roster of 3, of which they are a majority.
        List<RosterMember> roster = roster(3, 3, 3, 4, 5, 6);
        status(roster, applied(2, 6, SHEET));
        time.advance(Duration.ofMinutes(1));
        assertThat(status(roster, applied(2, 6, SHEET))).isEqualTo(Reach.RECORDED);
    }

    @Test
    @DisplayName("guards against a restarted daemon that is not in the roster yet being overlooked")
    void laggingNonMemberIsWaitedFor() {
        List<DaemonView> views = applied(0, 3, SHEET);
        views.add(new DaemonView(daemon("d9", 2), SHEET - 1, Duration.ZERO));
        assertThat(status(roster(3, 3, 3), views)).isEqualTo(Reach.RECORDED);
        time.advance(ConfigurationFreshness.FRESHNESS_WINDOW);
        assertThat(status(roster(3, 3, 3), views)).isEqualTo(Reach.IN_FORCE);
    }
}
