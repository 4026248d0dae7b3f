package org.bergamothoist.core.gossip;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.bergamothoist.core.identity.DaemonId;

/**
 * Tracks the other daemons by the reports that they send. Confined to the control thread.
 *
 * <p>A candidate address (from the settings, the store or another daemon) receives reports, but is
 * not returned to callers before its daemon has sent a report.
 */
public final class DaemonDirectory {

    /** Shortest time without a report after which a daemon no longer counts as alive. */
    static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(1_600);

    /** Delay of a report that does not make its daemon count as silent. */
    private static final Duration REPORT_DELAY_TOLERANCE = Duration.ofMillis(600);

    /** Time after which reports are no longer sent to an address that was not confirmed again. */
    private static final Duration CANDIDATE_RETENTION = Duration.ofSeconds(60);

    private final DaemonId self;
    private final InstantSource clock;
    private final Map<String, ReceivedReport> latestByName = new TreeMap<>();
    private final Map<String, Instant> candidateAddresses = new HashMap<>();
    private final List<Consumer<DaemonReport>> listeners = new ArrayList<>();

    /** Creates an empty directory. */
    public DaemonDirectory(DaemonId self, InstantSource clock) {
        this.self = self;
        this.clock = clock;
    }

    private record ReceivedReport(DaemonReport report, Instant at) {}

    /** Adds a listener that is called with every report that is stored. */
    public void addListener(Consumer<DaemonReport> listener) {
        listeners.add(listener);
    }

    /** Adds an address at which a daemon may be reachable, or confirms it. */
    public void addCandidate(String peerAddress) {
        candidateAddresses.put(peerAddress, clock.instant());
    }

    /**
     * Stores a report unless a newer one of the same daemon is known; returns whether it was
     * stored. Reports of this daemon are ignored.
     */
    public boolean update(DaemonReport report) {
        if (report.daemon().name().equals(self.name())) {
            return false;
        }
        ReceivedReport known = latestByName.get(report.daemon().name());
        if (known != null && !isNewer(report, known.report())) {
            return false;
        }
        latestByName.put(report.daemon().name(), new ReceivedReport(report, clock.instant()));
        candidateAddresses.put(report.peerAddress(), clock.instant());
        listeners.forEach(listener -> listener.accept(report));
        return true;
    }

    private static boolean isNewer(DaemonReport report, DaemonReport known) {
        return Comparator.comparingLong((DaemonReport one) -> one.daemon().incarnation())
                        .thenComparingLong(DaemonReport::sequence)
                        .compare(report, known)
                > 0;
    }

    /** Returns the last reports of the daemons that are alive. */
    public List<DaemonReport> aliveReports() {
        Instant now = clock.instant();
        return latestByName.values().stream()
                .filter(known -> isAlive(known, now))
                .map(ReceivedReport::report)
                .toList();
    }

    /** Returns when the oldest of the last reports of the daemons that are alive was received. */
    public Optional<Instant> oldestAliveReportAt() {
        Instant now = clock.instant();
        return latestByName.values().stream()
                .filter(known -> isAlive(known, now))
                .map(ReceivedReport::at)
                .min(Instant::compareTo);
    }

    /** Returns the last reports of daemons that were alive at the instant and no longer are. */
    public List<DaemonReport> silentSince(Instant instant) {
        Instant now = clock.instant();
        return latestByName.values().stream()
                .filter(known -> isAlive(known, instant) && !isAlive(known, now))
                .map(ReceivedReport::report)
                .toList();
    }

    private static boolean isAlive(ReceivedReport known, Instant instant) {
        return !instant.isAfter(known.at().plus(livenessTimeout(known.report())));
    }

    /** Returns the time without a report after which two reports of the daemon were lost. */
    private static Duration livenessTimeout(DaemonReport report) {
        Duration twoReports =
                report.nextReportWithin().multipliedBy(2).plus(REPORT_DELAY_TOLERANCE);
        return twoReports.compareTo(LIVENESS_TIMEOUT) > 0 ? twoReports : LIVENESS_TIMEOUT;
    }

    /** Returns the peer addresses that reports are sent to, sorted. */
    public List<String> reportReceivers() {
        Instant oldest = clock.instant().minus(CANDIDATE_RETENTION);
        candidateAddresses.values().removeIf(at -> at.isBefore(oldest));
        return candidateAddresses.keySet().stream().sorted().toList();
    }

    /**
     * Returns the daemons that are alive and ready.
     *
     * @param own this daemon, or empty if it is not ready
     */
    public List<CallerAssignment.Candidate> readyDaemons(Optional<CallerAssignment.Candidate> own) {
        List<CallerAssignment.Candidate> ready = new ArrayList<>();
        own.ifPresent(ready::add);
        aliveReports().stream()
                .filter(DaemonReport::ready)
                .map(
                        report ->
                                new CallerAssignment.Candidate(
                                        report.daemon().name(),
                                        report.dataCentre(),
                                        report.callerAddress(),
                                        report.peerAddress(),
                                        report.capacity(),
                                        report.utilisation().processor()))
                .forEach(ready::add);
        return ready;
    }
}
