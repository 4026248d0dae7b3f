package org.bergamothoist.gateway.state;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.gossip.CallerAssignment;
import org.bergamothoist.core.gossip.CallerDemand;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.ReportSchedule;
import org.bergamothoist.core.quota.CallerDaemonSource;

/**
 * The daemons that take callers' requests, as this daemon sees them. Confined to the event loop.
 */
public final class CallerDaemons implements CallerDaemonSource {

    /** Time after the start in which reports of all other daemons arrive. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(5);

    /** Age at which the assignment is computed again. */
    private static final Duration MAXIMUM_AGE = ReportSchedule.ROUND_INTERVAL;

    private final Supplier<CallerAssignment.Candidate> self;
    private final String selfName;
    private final String selfPeerAddress;
    private final BooleanSupplier selfReady;
    private final DaemonDirectory directory;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Instant startedAt;
    private final CallerDemand demand;
    private Instant computedAt = Instant.EPOCH;
    private List<CallerAssignment.Candidate> assigned = List.of();

    /**
     * Creates a view that is computed on demand.
     *
     * @param self returns this daemon as it is now
     * @param selfReady returns whether this daemon is ready
     */
    public CallerDaemons(
            Supplier<CallerAssignment.Candidate> self,
            BooleanSupplier selfReady,
            DaemonDirectory directory,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.selfName = self.get().name();
        this.selfPeerAddress = self.get().peerAddress();
        this.selfReady = selfReady;
        this.directory = directory;
        this.clock = clock;
        this.log = log;
        this.startedAt = clock.instant();
        this.demand = new CallerDemand(clock);
    }

    /** Returns the daemons that take callers' requests. */
    public List<CallerAssignment.Candidate> assigned() {
        Instant now = clock.instant();
        if (now.isAfter(computedAt.plus(MAXIMUM_AGE))) {
            refresh();
        }
        return assigned;
    }

    /** Computes the assignment again, because this daemon's readiness has changed. */
    public void refresh() {
        Optional<CallerAssignment.Candidate> own =
                selfReady.getAsBoolean() ? Optional.of(self.get()) : Optional.empty();
        List<CallerAssignment.Candidate> ready = directory.readyDaemons(own);
        OptionalDouble required = demand.update(stillTaking(ready));
        List<CallerAssignment.Candidate> chosen =
                required.isPresent()
                        ? CallerAssignment.choose(ready, required.getAsDouble())
                        : CallerAssignment.choose(ready, CallerAssignment.Settings.DEFAULT);
        if (chosen.size() != assigned.size()) {
            log.write(
                    DecisionKind.CALLER_DAEMONS_CHANGED,
                    selfName,
                    () -> "ready=" + ready.size() + " required-cores=" + required,
                    assigned.size() + " to " + chosen.size());
        }
        assigned = chosen;
        computedAt = clock.instant();
    }

    /** Returns those of the daemons that took requests when the assignment was last computed. */
    private List<CallerAssignment.Candidate> stillTaking(List<CallerAssignment.Candidate> ready) {
        Set<String> names =
                assigned.stream().map(CallerAssignment.Candidate::name).collect(Collectors.toSet());
        return ready.stream().filter(one -> names.contains(one.name())).toList();
    }

    /** Returns whether reports of other daemons may still be missing. */
    public boolean isStarting() {
        return clock.instant().isBefore(startedAt.plus(STARTUP_PERIOD));
    }

    /** Returns whether this daemon takes callers' requests, or may have to. */
    public boolean isActive() {
        return isStarting() || assigned().stream().anyMatch(one -> one.name().equals(selfName));
    }

    @Override
    public Set<String> names() {
        return assigned().stream()
                .map(CallerAssignment.Candidate::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    @Override
    public int assumedCount() {
        return count();
    }

    /** Returns the peer addresses of the daemons that take callers' requests. */
    public Set<String> peerAddresses() {
        return assigned().stream()
                .map(CallerAssignment.Candidate::peerAddress)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the number of daemons among which limits for the whole fleet are divided. While
     * reports may be missing, that is every known address.
     */
    public int count() {
        return Math.max(1, sharingPeers().size());
    }

    /**
     * Returns the peer addresses of the daemons among which work for the whole fleet is divided.
     * While reports may be missing, that is every known address, so that a restarted daemon takes
     * its part at once.
     */
    public Set<String> sharingPeers() {
        if (!isStarting()) {
            return peerAddresses();
        }
        Set<String> known = new HashSet<>(directory.reportReceivers());
        known.add(selfPeerAddress);
        return known;
    }
}
