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
 * Decides whether a recorded sheet is in force everywhere. Confined to the control thread. {@code
 * docs/decisions-configuration.md} has the safety argument.
 */
public final class SheetRolloutTracker {

    /** Sheets followed at the same time. */
    private static final int MAXIMUM_SHEETS = 1_000;

    private final InstantSource clock;

    /** Oldest first. */
    private final Map<Long, Progress> progress = new LinkedHashMap<>();

    /**
     * What is known of a daemon, the own one included.
     *
     * @param age upper bound of the time since the daemon said so
     */
    public record DaemonView(DaemonId daemon, long appliedOffset, Duration age) {}

    /** The state of one sheet. */
    private record Progress(Instant fewLagSince, boolean inForce) {}

    /** Creates a tracker that follows no sheet yet. */
    public SheetRolloutTracker(InstantSource clock) {
        this.clock = clock;
    }

    /**
     * Returns how far a sheet has come. It must be called about once a second while a sheet is on
     * its way, since the wait for lagging daemons counts from the first call that finds them few.
     *
     * @param roster roster by the own fold, which includes the sheet
     */
    public SheetStatus status(
            SheetVerdict verdict, Collection<RosterMember> roster, Collection<DaemonView> views) {
        if (!verdict.accepted()) {
            return new SheetStatus(verdict, Reach.REFUSED, List.of());
        }
        long offset = verdict.firstOffset();
        List<RosterMember> lagging = laggingMembers(offset, roster, views);
        List<DaemonId> nonMembers = laggingNonMembers(offset, roster, views);
        boolean complete = lagging.isEmpty() && nonMembers.isEmpty();
        boolean inForce = follow(offset, complete, areFew(lagging));
        List<DaemonId> all =
                Stream.concat(lagging.stream().map(RosterMember::daemon), nonMembers.stream())
                        .toList();
        return new SheetStatus(verdict, inForce ? Reach.IN_FORCE : Reach.RECORDED, all);
    }

    /** Once in force, a sheet stays in force, whoever joins later. */
    private boolean follow(long offset, boolean complete, boolean few) {
        Instant now = clock.instant();
        Progress before = progress.get(offset);
        if (before != null && before.inForce()) {
            return true;
        }
        Instant since = before == null ? null : before.fewLagSince();
        if (!few) {
            since = null;
        } else if (since == null) {
            since = now;
        }
        boolean waited =
                since != null && !now.isBefore(since.plus(ConfigurationFreshness.FRESHNESS_WINDOW));
        boolean inForce = complete || waited;
        progress.put(offset, new Progress(since, inForce));
        if (progress.size() > MAXIMUM_SHEETS) {
            progress.remove(progress.keySet().iterator().next());
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

    /** Daemons that serve before their join is recorded, for example after a restart. */
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
     * Returns whether the members cannot form a majority of any roster that one of them may use.
     */
    private static boolean areFew(List<RosterMember> lagging) {
        int smallest =
                lagging.stream()
                        .mapToInt(RosterMember::smallestRosterSizeSinceJoin)
                        .min()
                        .orElse(Integer.MAX_VALUE);
        return lagging.size() * 2L <= smallest;
    }
}
