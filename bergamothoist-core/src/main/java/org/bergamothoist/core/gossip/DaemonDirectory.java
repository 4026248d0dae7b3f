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
import org.bergamothoist.core.identity.DaemonId;

/**
 * Knows the other daemons by their reports. Confined to the control thread.
 *
 * <p>An address that was only heard of (from the store or another daemon) receives reports, but is
 * not named to callers before its daemon has reported.
 */
public final class DaemonDirectory {

    /** Silence after which a daemon no longer counts as alive: three lost reports. */
    static final Duration SILENCE = Duration.ofMillis(1_600);

    /** Silence after which a daemon is no longer sent reports. */
    private static final Duration FORGET = Duration.ofSeconds(60);

    private final DaemonId self;
    private final InstantSource clock;
    private final Map<String, Known> byName = new TreeMap<>();
    private final Map<String, Instant> candidates = new HashMap<>();

    /** Creates a directory that knows only this daemon. */
    public DaemonDirectory(DaemonId self, InstantSource clock) {
        this.self = self;
        this.clock = clock;
    }

    private record Known(DaemonReport report, Instant at) {}

    /** Notes an address where a daemon may be reached. */
    public void hearOf(String peerAddress) {
        candidates.put(peerAddress, clock.instant());
    }

    /** Takes a report over; returns whether it is newer than what was known. */
    public boolean accept(DaemonReport report) {
        if (report.daemon().name().equals(self.name())) {
            return false;
        }
        Known known = byName.get(report.daemon().name());
        if (known != null && !isNewer(report, known.report())) {
            return false;
        }
        byName.put(report.daemon().name(), new Known(report, clock.instant()));
        candidates.put(report.peerAddress(), clock.instant());
        return true;
    }

    private static boolean isNewer(DaemonReport report, DaemonReport known) {
        return Comparator.comparingLong((DaemonReport one) -> one.daemon().incarnation())
                        .thenComparingLong(DaemonReport::sequence)
                        .compare(report, known)
                > 0;
    }

    /** Returns the reports of daemons that are alive. */
    public List<DaemonReport> alive() {
        Instant oldest = clock.instant().minus(SILENCE);
        return byName.values().stream()
                .filter(known -> !known.at().isBefore(oldest))
                .map(Known::report)
                .toList();
    }

    /** Returns the addresses that reports are sent to. */
    public List<String> receivers() {
        Instant oldest = clock.instant().minus(FORGET);
        candidates.values().removeIf(at -> at.isBefore(oldest));
        return candidates.keySet().stream().sorted().toList();
    }

    /**
     * Returns the callers' addresses of ready daemons, those of the data centre first.
     *
     * @param own this daemon's address, or empty if it is not ready
     * @param ownDataCentre where this daemon is
     * @param dataCentre where the asking caller is
     * @param most most addresses returned
     */
    public List<String> callerAddresses(
            Optional<String> own, String ownDataCentre, String dataCentre, int most) {
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        own.ifPresent((ownDataCentre.equals(dataCentre) ? near : far)::add);
        for (DaemonReport report : alive()) {
            if (report.ready()) {
                (report.dataCentre().equals(dataCentre) ? near : far).add(report.callerAddress());
            }
        }
        near.addAll(far);
        return near.stream().distinct().limit(most).toList();
    }
}
