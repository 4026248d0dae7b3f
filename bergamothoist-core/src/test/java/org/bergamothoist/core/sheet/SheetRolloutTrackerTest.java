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

    private static final long SHEET_OFFSET = 10;
    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final SheetRolloutTracker tracker = new SheetRolloutTracker(time);

    private SheetVerdict verdict(boolean accepted) {
        return new SheetVerdict(
                12,
                SHEET_OFFSET,
                "digest",
                "biel",
                "operator",
                accepted,
                time.instant(),
                List.of());
    }

    private Reach reachOf(List<RosterMember> roster, List<DaemonView> views) {
        return tracker.status(verdict(true), roster, views).reach();
    }

    private static List<RosterMember> roster(int... smallestSizesSinceJoin) {
        List<RosterMember> roster = new ArrayList<>();
        for (int smallestSize : smallestSizesSinceJoin) {
            DaemonId daemon = daemon("d" + roster.size(), 1);
            roster.add(new RosterMember(daemon, "vm", "p", "c", "biel-a", 1, smallestSize));
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
    @DisplayName("guards against a needless wait and against reporting a refused sheet as recorded")
    void inForceOnceAllDaemonsApplied() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        assertThat(reachOf(roster, applied(0, 6, SHEET_OFFSET))).isEqualTo(Reach.IN_FORCE);
        assertThat(tracker.status(verdict(false), roster, List.of()).reach())
                .isEqualTo(Reach.REFUSED);
    }

    @Test
    @DisplayName("guards against reporting in force before the minority of a 4/2 partition stopped")
    void waitsForPartitionedMinorityToStop() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        assertThat(reachOf(roster, applied(0, 4, SHEET_OFFSET))).isEqualTo(Reach.RECORDED);
        time.advanceMillis(2_999);
        assertThat(reachOf(roster, applied(0, 4, SHEET_OFFSET))).isEqualTo(Reach.RECORDED);
        time.advanceMillis(1);
        SheetStatus status = tracker.status(verdict(true), roster, applied(0, 4, SHEET_OFFSET));
        assertThat(status.reach()).isEqualTo(Reach.IN_FORCE);
        assertThat(status.lagging()).containsExactly(daemon("d4", 1), daemon("d5", 1));
    }

    @Test
    @DisplayName("guards against reporting in force while lagging daemons can form a majority")
    void laggingMajorityPreventsInForce() {
        List<RosterMember> roster = roster(6, 6, 6, 6, 6, 6);
        reachOf(roster, applied(0, 2, SHEET_OFFSET));
        time.advance(Duration.ofMinutes(1));
        assertThat(reachOf(roster, applied(0, 2, SHEET_OFFSET))).isEqualTo(Reach.RECORDED);
    }

    @Test
    @DisplayName(
            "guards against joins during a partition hiding that the roster was smaller before")
    void usesSmallestRosterOfLaggingDaemons() {
        // d0 and d1 lag and still use a roster of 3 daemons, of which they are a majority.
        List<RosterMember> roster = roster(3, 3, 3, 4, 5, 6);
        reachOf(roster, applied(2, 6, SHEET_OFFSET));
        time.advance(Duration.ofMinutes(1));
        assertThat(reachOf(roster, applied(2, 6, SHEET_OFFSET))).isEqualTo(Reach.RECORDED);
    }

    @Test
    @DisplayName("guards against overlooking a restarted daemon that is not in the roster yet")
    void waitsForLaggingDaemonOutsideRoster() {
        List<DaemonView> views = applied(0, 3, SHEET_OFFSET);
        views.add(new DaemonView(daemon("d9", 2), SHEET_OFFSET - 1, Duration.ZERO));
        assertThat(reachOf(roster(3, 3, 3), views)).isEqualTo(Reach.RECORDED);
        time.advance(ConfigurationFreshness.FRESHNESS_WINDOW);
        assertThat(reachOf(roster(3, 3, 3), views)).isEqualTo(Reach.IN_FORCE);
    }
}
