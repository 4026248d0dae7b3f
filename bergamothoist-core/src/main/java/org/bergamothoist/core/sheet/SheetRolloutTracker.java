package org.bergamothoist.core.sheet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationFreshness;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.sheet.SheetStatus.Reach;

/**
 * Tracks the rollout of accepted sheets and decides when one is in force on every daemon. The
 * safety argument is in {@code docs/decisions-configuration.md}. Confined to the control thread.
 */
public final class SheetRolloutTracker {

    /** Maximum number of sheets tracked at the same time. */
    private static final int MAXIMUM_SHEETS = 1_000;

    private final InstantSource clock;

    /** Rollout of each tracked sheet by its log offset, oldest first. */
    private final Map<Long, Progress> progressByOffset = new LinkedHashMap<>();

    /**
     * The last known applied offset of a daemon; this daemon itself is among them.
     *
     * @param age upper bound of the time since the daemon reported it
     */
    public record DaemonView(DaemonId daemon, long appliedOffset, Duration age) {}

    /**
     * The rollout of one sheet.
     *
     * @param fewLagSince time since which the lagging daemons are too few to form a majority; null
     *     if they are not
     */
    private record Progress(Instant fewLagSince, boolean inForce) {}

    /** Creates a tracker without sheets. */
    public SheetRolloutTracker(InstantSource clock) {
        this.clock = clock;
    }

    /**
     * Updates and returns the rollout status of a sheet. It must be called about once a second
     * until the sheet is in force: the time that lagging daemons are given to stop serving counts
     * from the first call that finds them too few to form a majority.
     *
     * @param roster roster in this daemon's shared state, which must include the sheet
     * @param views last known state of every daemon
     */
    public SheetStatus status(
            SheetVerdict verdict, Collection<RosterMember> roster, Collection<DaemonView> views) {
        if (!verdict.accepted()) {
            return new SheetStatus(verdict, Reach.REFUSED, List.of());
        }
        long offset = verdict.firstOffset();
        List<RosterMember> lagging = laggingMembers(offset, roster, views);
        List<DaemonId> nonMembers = laggingNonMembers(offset, roster, views);
        boolean appliedByAll = lagging.isEmpty() && nonMembers.isEmpty();
        boolean inForce = updateProgress(offset, appliedByAll, cannotFormMajority(lagging));
        List<DaemonId> allLagging =
                Stream.concat(lagging.stream().map(RosterMember::daemon), nonMembers.stream())
                        .toList();
        return new SheetStatus(verdict, inForce ? Reach.IN_FORCE : Reach.RECORDED, allLagging);
    }

    /** Returns whether the sheet is in force. Once in force it stays so, whoever joins later. */
    private boolean updateProgress(long offset, boolean appliedByAll, boolean fewLag) {
        Instant now = clock.instant();
        Progress before = progressByOffset.get(offset);
        if (before != null && before.inForce()) {
            return true;
        }
        Instant since = before == null ? null : before.fewLagSince();
        if (!fewLag) {
            since = null;
        } else if (since == null) {
            since = now;
        }
        boolean waited =
                since != null && !now.isBefore(since.plus(ConfigurationFreshness.FRESHNESS_WINDOW));
        boolean inForce = appliedByAll || waited;
        progressByOffset.put(offset, new Progress(since, inForce));
        if (progressByOffset.size() > MAXIMUM_SHEETS) {
            progressByOffset.remove(progressByOffset.keySet().iterator().next());
        }
        return inForce;
    }

    private static List<RosterMember> laggingMembers(
            long offset, Collection<RosterMember> roster, Collection<DaemonView> views) {
        Set<DaemonId> applied =
                views.stream()
                        .filter(view -> view.appliedOffset() >= offset)
                        .map(DaemonView::daemon)
                        .collect(Collectors.toCollection(HashSet::new));
        return roster.stream().filter(member -> !applied.contains(member.daemon())).toList();
    }

    /** Returns lagging daemons that serve before their join is recorded, as after a restart. */
    private static List<DaemonId> laggingNonMembers(
            long offset, Collection<RosterMember> roster, Collection<DaemonView> views) {
        Set<DaemonId> members =
                roster.stream().map(RosterMember::daemon).collect(Collectors.toSet());
        return views.stream()
                .filter(view -> !members.contains(view.daemon()))
                .filter(view -> view.appliedOffset() < offset)
                .filter(view -> view.age().compareTo(ConfigurationFreshness.FRESHNESS_WINDOW) <= 0)
                .map(DaemonView::daemon)
                .toList();
    }

    /**
     * Returns whether the lagging members cannot form a majority of any roster that one of them may
     * still use. If so, they stop serving once the freshness window has passed.
     */
    private static boolean cannotFormMajority(List<RosterMember> lagging) {
        int smallestRosterSize =
                lagging.stream()
                        .mapToInt(RosterMember::smallestRosterSizeSinceJoin)
                        .min()
                        .orElse(Integer.MAX_VALUE);
        return lagging.size() * 2L <= smallestRosterSize;
    }
}
