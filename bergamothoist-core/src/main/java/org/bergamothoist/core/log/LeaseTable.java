package org.bergamothoist.core.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamothoist.core.log.ApplyResult.LeaseDecided;
import org.bergamothoist.core.log.ApplyResult.LeaseEnded;
import org.bergamothoist.core.log.ApplyResult.Unchanged;
import org.bergamothoist.core.log.LogRecord.LeaseRelease;
import org.bergamothoist.core.log.LogRecord.LeaseRequest;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;

/** The most recent lease of each resource, in force or expired. */
final class LeaseTable {

    /** Upper bound of a lease, so that a wrong duration cannot block a resource indefinitely. */
    static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

    private final TreeMap<String, LeaseState> leases = new TreeMap<>();

    LeaseDecided request(long offset, Instant logTime, LeaseRequest request) {
        LeaseState current = leases.get(request.resource());
        boolean heldByOther =
                current != null
                        && !current.holder().equals(request.holder())
                        && current.expiresAt().isAfter(logTime);
        if (heldByOther) {
            return new LeaseDecided(request, false, current);
        }
        LeaseState lease =
                new LeaseState(
                        request.resource(),
                        request.holder(),
                        offset,
                        logTime.plus(clamp(request.duration())));
        leases.put(request.resource(), lease);
        return new LeaseDecided(request, true, lease);
    }

    private static Duration clamp(Duration duration) {
        if (duration.isNegative()) {
            return Duration.ZERO;
        }
        return duration.compareTo(MAXIMUM_DURATION) > 0 ? MAXIMUM_DURATION : duration;
    }

    ApplyResult release(LeaseRelease release) {
        LeaseState current = leases.get(release.resource());
        boolean matches =
                current != null
                        && current.holder().equals(release.holder())
                        && current.fencingNumber() == release.fencingNumber();
        if (!matches) {
            return new Unchanged();
        }
        leases.remove(release.resource());
        return new LeaseEnded(current);
    }

    Optional<LeaseState> lease(String resource) {
        return Optional.ofNullable(leases.get(resource));
    }

    Collection<LeaseState> leases() {
        return Collections.unmodifiableCollection(leases.values());
    }

    void restore(List<LeaseState> states) {
        leases.clear();
        states.forEach(lease -> leases.put(lease.resource(), lease));
    }
}
