package org.bergamothoist.core.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bergamothoist.core.log.ApplyResult.SuspicionsChanged;
import org.bergamothoist.core.log.ApplyResult.Unchanged;
import org.bergamothoist.core.log.LogRecord.LossReport;
import org.bergamothoist.core.log.LogRecord.QuarantineRelease;
import org.bergamothoist.core.log.SharedStateSnapshot.LostEngine;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.quarantine.Fingerprint;

/** Content fingerprints of the requests that were running on engines when these were lost. */
final class SuspicionTable {

    /**
     * Maximum number of losses counted for a fingerprint. Two suffice for quarantine, and a bound
     * keeps the lists of lost engines in checkpoints short.
     */
    static final int MAXIMUM_LOSSES = 8;

    private static final Comparator<Suspicion> EXPIRY_ORDER =
            Comparator.comparing(Suspicion::expiresAt).thenComparing(Suspicion::fingerprint);

    private final TreeMap<Fingerprint, Suspicion> suspicions = new TreeMap<>();
    private final TreeSet<Suspicion> byExpiry = new TreeSet<>(EXPIRY_ORDER);

    ApplyResult count(Instant logTime, LossReport report) {
        LostEngine engine = new LostEngine(report.target(), report.incarnation());
        List<Suspicion> counted = new ArrayList<>();
        for (Fingerprint fingerprint : report.suspects()) {
            Suspicion earlier = suspicions.get(fingerprint);
            if (earlier != null && !isNewLoss(earlier, engine)) {
                continue;
            }
            Suspicion suspicion = withLoss(fingerprint, earlier, engine, logTime);
            remove(fingerprint);
            put(suspicion);
            counted.add(suspicion);
        }
        return counted.isEmpty() ? new Unchanged() : new SuspicionsChanged(counted, List.of());
    }

    private static boolean isNewLoss(Suspicion earlier, LostEngine engine) {
        return earlier.losses() < MAXIMUM_LOSSES && !earlier.engines().contains(engine);
    }

    private static Suspicion withLoss(
            Fingerprint fingerprint, Suspicion earlier, LostEngine engine, Instant logTime) {
        List<LostEngine> engines = new ArrayList<>();
        int losses = 1;
        if (earlier != null) {
            engines.addAll(earlier.engines());
            losses = earlier.losses() + 1;
        }
        engines.add(engine);
        return new Suspicion(
                fingerprint, losses, logTime.plus(SharedState.QUARANTINE_DURATION), engines);
    }

    ApplyResult release(QuarantineRelease release) {
        List<Fingerprint> cleared =
                release.fingerprints().stream()
                        .filter(fingerprint -> remove(fingerprint) != null)
                        .toList();
        if (cleared.isEmpty()) {
            return new Unchanged();
        }
        return new SuspicionsChanged(List.of(), cleared);
    }

    /** Removes the suspicions that have expired by the log's time. */
    void prune(Instant logTime) {
        while (!byExpiry.isEmpty() && !byExpiry.first().expiresAt().isAfter(logTime)) {
            remove(byExpiry.first().fingerprint());
        }
    }

    private void put(Suspicion suspicion) {
        suspicions.put(suspicion.fingerprint(), suspicion);
        byExpiry.add(suspicion);
    }

    private Suspicion remove(Fingerprint fingerprint) {
        Suspicion suspicion = suspicions.remove(fingerprint);
        if (suspicion != null) {
            byExpiry.remove(suspicion);
        }
        return suspicion;
    }

    Optional<Suspicion> suspicion(Fingerprint fingerprint) {
        return Optional.ofNullable(suspicions.get(fingerprint));
    }

    Collection<Suspicion> suspicions() {
        return Collections.unmodifiableCollection(suspicions.values());
    }

    void restore(List<Suspicion> states) {
        suspicions.clear();
        byExpiry.clear();
        states.forEach(this::put);
    }
}
