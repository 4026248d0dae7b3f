package org.bergamothoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.bergamothoist.core.gossip.DaemonReport.OrganisationDemand;
import org.bergamothoist.core.route.Quota;

/**
 * One organisation's quota at this daemon. Confined to the control thread.
 *
 * <p>A token bucket holds the credit of the whole fleet: it fills with the limit, and what other
 * daemons have spent is taken from it as they report it. Before the others can have heard of what
 * this daemon spends, it spends at most its share of that credit. As the shares of all daemons add
 * up to at most 1, they do not spend more than the credit, whatever the age of their reports.
 */
final class QuotaAccount {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Time in which levels that differ, as after a restart, come close to each other. */
    private static final double LEVEL_ADJUSTMENT_SECONDS = 1;

    /** Part of the full credit above which the organisation is taken to be within its limit. */
    private static final double PLENTY_PART = 0.5;

    /** Stands for daemons that are known of only by others' reports. */
    private static final Set<String> UNNAMED = Set.of("");

    private final String organisation;
    private final QuotaBounds bounds;
    private final FleetDemands fleet;
    private final DemandMeter meter = new DemandMeter();
    private final AnnouncedDemand announced;
    private final RecentSpending recent = new RecentSpending();
    private final Map<String, Spending> spendingByPeer = new HashMap<>();
    private Quota quota;
    private Instant updatedAt;
    private FleetDemands.View view;
    private FleetDemands.Share share = FleetDemands.Share.ALL;
    private double level;

    /** Credit that is left to daemons whose spending this one does not hear of. */
    private final Map<String, Double> withheld = new HashMap<>();

    private double spent;
    private boolean refusing;

    /** What a daemon's incarnation had spent at its last report that named the organisation. */
    private record Spending(long incarnation, double units) {}

    /** Creates an account without credit, which fills from an instant on. */
    QuotaAccount(
            String organisation,
            Quota quota,
            QuotaBounds bounds,
            FleetDemands fleet,
            Instant since) {
        this.organisation = organisation;
        this.quota = quota;
        this.bounds = bounds;
        this.fleet = fleet;
        this.updatedAt = since;
        this.announced = new AnnouncedDemand(since);
    }

    /** Applies a quota and brings the credit up to date. */
    void refresh(Quota current, Instant now) {
        quota = current;
        double seconds =
                Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        updatedAt = now;
        FleetDemands.View currentView = fleet.view();
        if (currentView != view) {
            view = currentView;
            double own = announced.lowestWithin(view.hearingTime(), now);
            setShare(view.share(organisation, own, meter.unitsPerSecond(now)));
            adjustLevel(seconds);
        }
        double fill = bounds.fillPerSecond(quota) * seconds;
        level = Math.min(capacity() * share.accounted(), level + fill * share.accounted());
        double left = fill * (1 - share.accounted()) / withheld.size();
        withheld.replaceAll((peer, units) -> units + left);
    }

    /**
     * Brings the level near those that others report, from which it differs after a restart or a
     * cut. Differences that follow from the age of reports stay.
     */
    private void adjustLevel(double seconds) {
        if (share.accounted() < 1 || Double.isNaN(share.meanLevel())) {
            return;
        }
        double usual =
                bounds.fillPerSecond(quota)
                        * 2
                        * view.hearingTime().toNanos()
                        / NANOSECONDS_PER_SECOND;
        double difference = share.meanLevel() - level;
        if (difference > 0) {
            // The others' levels do not yet lack what they have not heard of.
            difference = Math.max(0, difference - recent.since(view.unheardSince()));
        }
        double unusual = Math.signum(difference) * Math.max(0, Math.abs(difference) - usual);
        level += unusual * Math.min(1, seconds / LEVEL_ADJUSTMENT_SECONDS);
    }

    /** Leaves credit to daemons that have fallen silent, and takes it back when they are heard. */
    private void setShare(FleetDemands.Share next) {
        double before = share.accounted();
        share = next;
        Set<String> silent = silent();
        for (Iterator<Map.Entry<String, Double>> entries = withheld.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<String, Double> entry = entries.next();
            if (!silent.contains(entry.getKey())) {
                // Daemons that were never heard have had their part themselves.
                level += UNNAMED.contains(entry.getKey()) ? 0 : entry.getValue();
                entries.remove();
            }
        }
        silent.removeAll(withheld.keySet());
        if (silent.isEmpty()) {
            return;
        }
        // What this daemon has spent meanwhile, the silent ones may have spent in their parts too.
        double credit = Math.max(0, level + recent.since(view.unheardSince()));
        double part = Math.max(0, 1 - share.accounted() / before) / silent.size();
        for (String peer : silent) {
            withheld.put(peer, credit * part);
            level -= credit * part;
        }
    }

    /** Returns the daemons that are not heard, of which some may have no name yet. */
    private Set<String> silent() {
        if (share.accounted() == 1) {
            return new HashSet<>();
        }
        return new HashSet<>(view.silent().isEmpty() ? UNNAMED : view.silent());
    }

    private double capacity() {
        return bounds.capacity(quota);
    }

    /** Takes the units of a request; returns whether the quota lets it run. */
    boolean tryTake(double units, Instant now) {
        meter.record(units, now);
        if (!mayRun(units)) {
            return false;
        }
        take(units, now);
        return true;
    }

    private boolean mayRun(double units) {
        double unheard = recent.since(view.unheardSince());
        double credit = level + unheard;
        boolean withinShare = unheard + units <= share.ofCredit() * credit * plenty();
        boolean largeAlone =
                unheard <= 0
                        && level >= PLENTY_PART * capacity() * share.accounted()
                        && level >= Math.min(units, capacity() * share.accounted());
        return withinShare || largeAlone;
    }

    /**
     * Returns a factor from 1 to 2 of the share. While more than half of the credit is left, the
     * organisation is within its limit, and shares that chance has made too small must not refuse
     * its requests.
     */
    private double plenty() {
        double full = capacity() * share.accounted();
        return 1
                + Math.max(
                        0, Math.min(1, (level - PLENTY_PART * full) / (full * (1 - PLENTY_PART))));
    }

    /** Takes units whatever the credit, or returns them if they are below 0. */
    void take(double units, Instant now) {
        level -= units;
        spent += units;
        recent.add(units, now);
    }

    /** Estimates the time until a request of this size may run. */
    Duration timeUntil(double units) {
        double missing = Math.max(0, units / share.ofCredit() - level);
        double fill = bounds.fillPerSecond(quota) * share.accounted();
        return view.hearingTime().plusNanos((long) (missing / fill * NANOSECONDS_PER_SECOND));
    }

    /** Notes whether requests are refused; returns whether that has changed. */
    boolean setRefusing(boolean now) {
        boolean changed = refusing != now;
        refusing = now;
        return changed;
    }

    /** Returns what this daemon reports next, and notes that it announces it. */
    OrganisationDemand announce(Instant now) {
        double demand = meter.unitsPerSecond(now);
        announced.announce(demand, now);
        return new OrganisationDemand(
                organisation,
                demand,
                Math.max(0, spent),
                view.known(organisation, demand),
                view.heardCallers(),
                view.count(),
                level);
    }

    /** Notes that the next report does not list the organisation. */
    void announceNothing(Instant now) {
        announced.announce(0, now);
    }

    /**
     * Takes what another daemon has spent since its previous report.
     *
     * <p>The first report of a daemon that was not known does not count: what it spent before is
     * older than this daemon, or was spent on another side of a cut.
     */
    void onSpending(FleetDemands.Update update, OrganisationDemand demand) {
        FleetDemands.Peer peer = update.peer();
        Spending before =
                spendingByPeer.put(
                        peer.name(), new Spending(peer.incarnation(), demand.unitsSpent()));
        if (update.previous().isEmpty()) {
            return;
        }
        boolean same = before != null && before.incarnation() == peer.incarnation();
        double units = demand.unitsSpent() - (same ? before.units() : 0);
        level -= units;
        if (level < -capacity()) {
            level = Math.max(level, -capacity() - totalWithheld());
        }
    }

    private double totalWithheld() {
        return withheld.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Describes the account for the log. */
    String describe() {
        double own = meter.unitsPerSecond(updatedAt);
        return String.format(
                Locale.ROOT,
                "limit=%.0f share=%.3f credit=%.0f withheld=%.0f demand=%.0f known-demand=%.0f"
                        + " daemons=%d heard=%d",
                quota.unitsPerSecond(),
                share.ofCredit(),
                level,
                totalWithheld(),
                own,
                view.known(organisation, own),
                view.count(),
                view.heardCallers());
    }
}
