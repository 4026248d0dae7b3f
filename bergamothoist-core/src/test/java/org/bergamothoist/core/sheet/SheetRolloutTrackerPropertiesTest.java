package org.bergamothoist.core.sheet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationFreshness;
import org.bergamothoist.core.log.ConfigurationFreshness.OwnView;
import org.bergamothoist.core.log.ConfigurationFreshness.PeerView;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.LogRecordFixtures;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.sheet.SheetRolloutTracker.DaemonView;
import org.bergamothoist.core.sheet.SheetStatus.Reach;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Random rosters, lagging daemons and partitions. */
class SheetRolloutTrackerPropertiesTest {

    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();

    /**
     * Lets daemons fold a log of joins and leaves with one sheet in it, cuts groups of them off at
     * random offsets, and checks that a sheet in force is not contradicted by lagging daemons, each
     * of which hears all that are not ahead of it.
     */
    @Property(tries = 3_000, seed = "4")
    @Label("guards against a sheet in force while a group of lagging daemons serves the old one")
    void noGroupServesAnOldSheetAfterInForce(@ForAll long seed) {
        Random random = new Random(seed);
        Map<DaemonId, SharedState> folds = new TreeMap<>();
        SharedState all = new SharedState();
        long sheetOffset = 10 + random.nextInt(20);
        Set<DaemonId> cutOff = new HashSet<>();
        while (all.appliedOffset() < 40) {
            LogRecord record = rosterRecord(random, all, folds, sheetOffset);
            LogEntry entry = new LogEntry(all.appliedOffset() + 1, time.instant(), record);
            all.apply(entry);
            if (record instanceof LogRecord.DaemonJoined joined) {
                SharedState own = new SharedState();
                own.restore(all.snapshot());
                folds.put(joined.daemon(), own);
            }
            if (random.nextInt(8) == 0) {
                folds.keySet().stream().filter(id -> random.nextBoolean()).forEach(cutOff::add);
            }
            follow(folds, cutOff, entry);
        }
        List<DaemonView> views = new ArrayList<>();
        folds.forEach((id, fold) -> views.add(new DaemonView(id, fold.appliedOffset(), LONG_AGO)));
        SheetRolloutTracker fresh = new SheetRolloutTracker(time);
        SheetVerdict verdict = all.verdict("sheet").orElseThrow();
        fresh.status(verdict, all.roster(), views);
        time.advance(ConfigurationFreshness.FRESHNESS_WINDOW);
        if (fresh.status(verdict, all.roster(), views).reach() == Reach.IN_FORCE) {
            folds.forEach((id, fold) -> assertStopped(id, fold, folds, sheetOffset));
        }
    }

    private static LogRecord rosterRecord(
            Random random, SharedState all, Map<DaemonId, SharedState> folds, long sheetOffset) {
        if (all.appliedOffset() + 1 == sheetOffset) {
            return new LogRecord.SheetSubmission("sheet", "biel", "operator", List.of());
        }
        List<RosterMember> roster = List.copyOf(all.roster());
        if (roster.size() > 1 && random.nextInt(3) == 0) {
            DaemonId left = roster.get(random.nextInt(roster.size())).daemon();
            folds.remove(left);
            return new LogRecord.DaemonLeft(left, left);
        }
        DaemonId daemon = daemon("d" + random.nextInt(8), all.appliedOffset());
        folds.keySet().removeIf(other -> other.name().equals(daemon.name()));
        return LogRecordFixtures.joined(daemon);
    }

    private static void follow(
            Map<DaemonId, SharedState> folds, Set<DaemonId> cutOff, LogEntry entry) {
        folds.forEach(
                (id, fold) -> {
                    boolean next = fold.appliedOffset() + 1 == entry.offset();
                    if (next && !cutOff.contains(id)) {
                        fold.apply(entry);
                    }
                });
    }

    private static void assertStopped(
            DaemonId id, SharedState fold, Map<DaemonId, SharedState> folds, long sheetOffset) {
        if (fold.appliedOffset() >= sheetOffset) {
            return;
        }
        List<PeerView> heard = new ArrayList<>();
        folds.forEach(
                (peer, other) -> {
                    if (!peer.equals(id) && other.appliedOffset() <= fold.appliedOffset()) {
                        heard.add(
                                new PeerView(peer, other.appliedOffset(), LONG_AGO, Duration.ZERO));
                    }
                });
        OwnView own = new OwnView(id, fold.appliedOffset(), Optional.empty(), false);
        assertThat(ConfigurationFreshness.evaluate(own, fold.roster(), heard))
                .isIn(ConfigurationState.STALE, ConfigurationState.NONE);
    }
}
