package org.bergamothoist.core.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.gossip.DaemonReport.OrganisationDemand;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Quota;
import org.bergamothoist.core.time.Jitter;

/**
 * Decides whether an organisation's quota lets a request run, from what this daemon let run and
 * what the others report. Confined to the control thread.
 */
public final class OrganisationQuotas {

    /**
     * Maximum number of organisations in a report: about 7 kB, which 8 receivers five times a
     * second get over a link of 10 Mbit/s in a quarter of its capacity. Organisations that are not
     * listed have equal shares at all daemons.
     */
    static final int MAXIMUM_DEMANDS = 128;

    /** Shortest time between two measurements for reports: a part of the interval of rounds. */
    private static final Duration MINIMUM_REPORT_INTERVAL = Duration.ofMillis(50);

    /** Shortest retry time: a round of reports, after which shares may have changed. */
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(200);

    /** Longest retry time before jitter; demand changes within it. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(4);

    private final QuotaBounds bounds;
    private final FleetDemands fleet;
    private final Supplier<List<Organisation>> limited;
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final DecisionLog log;
    private final Counter admittedRequests;
    private final Counter refusedRequests;
    private final Counter repeatedCharges;
    private final Counter returnedCharges;
    private final Map<String, QuotaAccount> accounts = new HashMap<>();
    private final Instant startedAt;
    private List<Organisation> known = List.of();
    private Instant reportedAt = Instant.EPOCH;
    private List<OrganisationDemand> lastReport = List.of();

    /**
     * Creates quotas of which nothing was used.
     *
     * @param self name of this daemon
     * @param limited returns the organisations that have a quota; the same list until it changes
     * @param random supplies uniformly distributed numbers from 0 to 1
     */
    public OrganisationQuotas(
            String self,
            QuotaBounds bounds,
            Supplier<List<Organisation>> limited,
            CallerDaemonSource callers,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics,
            DecisionLog log) {
        this.bounds = bounds;
        this.fleet = new FleetDemands(self, callers, clock);
        this.limited = limited;
        this.clock = clock;
        this.startedAt = clock.instant();
        this.random = random;
        this.log = log;
        this.admittedRequests = metrics.counter("quota-requests-admitted");
        this.refusedRequests = metrics.counter("quota-requests-refused");
        this.repeatedCharges = metrics.counter("quota-charges-repeated");
        this.returnedCharges = metrics.counter("quota-charges-returned");
    }

    /**
     * The decision on a request.
     *
     * @param charge what the request has taken
     * @param retryAfter time after which the caller may retry if the request is refused
     */
    public record Decision(QuotaCharge charge, Optional<Duration> retryAfter) {}

    /** Decides on a request of an organisation with a quota; takes its units if it may run. */
    public Decision decide(String organisation, Quota quota, double units) {
        Instant now = clock.instant();
        QuotaAccount account = account(organisation, quota);
        account.refresh(quota, now);
        boolean admitted = account.tryTake(units, now);
        if (account.setRefusing(!admitted)) {
            log.write(
                    DecisionKind.QUOTA_CHANGED,
                    organisation,
                    () -> "units=" + (long) units + " " + account.describe(),
                    admitted ? "requests admitted again" : "requests refused");
        }
        if (!admitted) {
            refusedRequests.inc();
            return new Decision(QuotaCharge.NONE, Optional.of(retryDelay(account, units)));
        }
        admittedRequests.inc();
        return new Decision(new AccountCharge(account, units), Optional.empty());
    }

    /**
     * Returns an account, which fills from the start of the daemon on: a daemon that restarts may
     * have spent its burst, and the limit may become known only with a request.
     */
    private QuotaAccount account(String organisation, Quota quota) {
        return accounts.computeIfAbsent(
                organisation, name -> new QuotaAccount(name, quota, bounds, fleet, startedAt));
    }

    private Duration retryDelay(QuotaAccount account, double units) {
        Duration wait = account.timeUntil(units).plus(MINIMUM_RETRY_DELAY);
        Duration bounded = wait.compareTo(MAXIMUM_RETRY_DELAY) > 0 ? MAXIMUM_RETRY_DELAY : wait;
        return Jitter.delay(bounded, bounded, random);
    }

    private final class AccountCharge implements QuotaCharge {

        private final QuotaAccount account;
        private final double units;
        private int charged = 1;

        private AccountCharge(QuotaAccount account, double units) {
            this.account = account;
            this.units = units;
        }

        @Override
        public void setRuns(int runs) {
            if (runs != charged) {
                (runs > charged ? repeatedCharges : returnedCharges).inc();
                account.take(units * (runs - charged), clock.instant());
                charged = runs;
            }
        }
    }

    /** Returns the demands for the next report, those nearest to their limits first. */
    public List<OrganisationDemand> nextReport() {
        Instant now = clock.instant();
        if (now.isBefore(reportedAt.plus(MINIMUM_REPORT_INTERVAL))) {
            return lastReport;
        }
        reportedAt = now;
        List<Organisation> current = limited.get();
        if (current != known) {
            Set<String> names = new HashSet<>();
            current.forEach(organisation -> names.add(organisation.name()));
            accounts.keySet().retainAll(names);
            known = current;
        }
        List<RankedDemand> ranked = new ArrayList<>();
        for (Organisation organisation : current) {
            Quota quota = organisation.quota().orElseThrow();
            QuotaAccount account = account(organisation.name(), quota);
            account.refresh(quota, now);
            OrganisationDemand demand = account.announce(now);
            if (demand.knownUnitsPerSecond() > 0) {
                ranked.add(
                        new RankedDemand(
                                account,
                                demand,
                                demand.knownUnitsPerSecond() / quota.unitsPerSecond()));
            }
        }
        ranked.sort(Comparator.comparingDouble(RankedDemand::limits).reversed());
        int listed = Math.min(MAXIMUM_DEMANDS, ranked.size());
        ranked.subList(listed, ranked.size())
                .forEach(unlisted -> unlisted.account().announceNothing(now));
        lastReport = ranked.subList(0, listed).stream().map(RankedDemand::demand).toList();
        return lastReport;
    }

    private record RankedDemand(QuotaAccount account, OrganisationDemand demand, double limits) {}

    /** Handles a report of another daemon. */
    public void onReport(DaemonReport report) {
        FleetDemands.Update update = fleet.update(report);
        for (OrganisationDemand demand : report.demands()) {
            QuotaAccount account = accounts.get(demand.organisation());
            if (account != null) {
                account.onSpending(update, demand);
            }
        }
    }
}
