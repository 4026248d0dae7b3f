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

/** Tracks a sheet with random rosters, lagging daemons and partitions. */
class SheetRolloutTrackerPropertiesTest {

    private static final Duration LONG_AGO = Duration.ofHours(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();

    /**
     * Lets daemons apply a log of joins and departures with one sheet in it and cuts random groups
     * of them off at random offsets. If the sheet is reported in force, no lagging daemon may
     * serve, even if it hears from every daemon that is not ahead of it.
     */
    @Property(tries = 3_000, seed = "4")
    @Label("guards against a sheet reported in force while lagging daemons serve the old one")
    void laggingDaemonsDoNotServeOnceInForce(@ForAll long seed) {
        Random random = new Random(seed);
        Map<DaemonId, SharedState> states = new TreeMap<>();
        SharedState reference = new SharedState();
        long sheetOffset = 10 + random.nextInt(20);
        Set<DaemonId> cutOff = new HashSet<>();
        while (reference.appliedOffset() < 40) {
            LogRecord record = rosterRecord(random, reference, states, sheetOffset);
            LogEntry entry = new LogEntry(reference.appliedOffset() + 1, time.instant(), record);
            reference.apply(entry);
            if (record instanceof LogRecord.DaemonJoined joined) {
                SharedState joinedState = new SharedState();
                joinedState.restore(reference.snapshot());
                states.put(joined.daemon(), joinedState);
            }
            if (random.nextInt(8) == 0) {
                states.keySet().stream().filter(id -> random.nextBoolean()).forEach(cutOff::add);
            }
            applyUnlessCutOff(states, cutOff, entry);
        }
        List<DaemonView> views = new ArrayList<>();
        states.forEach(
                (id, state) -> views.add(new DaemonView(id, state.appliedOffset(), LONG_AGO)));
        SheetRolloutTracker tracker = new SheetRolloutTracker(time);
        SheetVerdict verdict = reference.verdict("sheet").orElseThrow();
        tracker.status(verdict, reference.roster(), views);
        time.advance(ConfigurationFreshness.FRESHNESS_WINDOW);
        if (tracker.status(verdict, reference.roster(), views).reach() == Reach.IN_FORCE) {
            states.forEach((id, state) -> assertStopped(id, state, states, sheetOffset));
        }
    }

    private static LogRecord rosterRecord(
            Random random,
            SharedState reference,
            Map<DaemonId, SharedState> states,
            long sheetOffset) {
        if (reference.appliedOffset() + 1 == sheetOffset) {
            return new LogRecord.SheetSubmission("sheet", "biel", "operator", List.of());
        }
        List<RosterMember> roster = List.copyOf(reference.roster());
        if (roster.size() > 1 && random.nextInt(3) == 0) {
            DaemonId departed = roster.get(random.nextInt(roster.size())).daemon();
            states.remove(departed);
            return new LogRecord.DaemonLeft(departed, departed);
        }
        DaemonId daemon = daemon("d" + random.nextInt(8), reference.appliedOffset());
        states.keySet().removeIf(other -> other.name().equals(daemon.name()));
        return LogRecordFixtures.joined(daemon);
    }

    private static void applyUnlessCutOff(
            Map<DaemonId, SharedState> states, Set<DaemonId> cutOff, LogEntry entry) {
        states.forEach(
                (id, state) -> {
                    boolean isNext = state.appliedOffset() + 1 == entry.offset();
                    if (isNext && !cutOff.contains(id)) {
                        state.apply(entry);
                    }
                });
    }

    private static void assertStopped(
            DaemonId id, SharedState state, Map<DaemonId, SharedState> states, long sheetOffset) {
        if (state.appliedOffset() >= sheetOffset) {
            return;
        }
        List<PeerView> heard = new ArrayList<>();
        states.forEach(
                (peer, other) -> {
                    if (!peer.equals(id) && other.appliedOffset() <= state.appliedOffset()) {
                        heard.add(
                                new PeerView(peer, other.appliedOffset(), LONG_AGO, Duration.ZERO));
                    }
                });
        OwnView own = new OwnView(id, state.appliedOffset(), Optional.empty(), false);
        assertThat(ConfigurationFreshness.evaluate(own, state.roster(), heard))
                .isIn(ConfigurationState.STALE, ConfigurationState.NONE);
    }
}
