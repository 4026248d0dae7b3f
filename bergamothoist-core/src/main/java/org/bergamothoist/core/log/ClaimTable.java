package org.bergamothoist.core.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamothoist.core.log.ApplyResult.ClaimsDecided;
import org.bergamothoist.core.log.ApplyResult.RefusedClaim;
import org.bergamothoist.core.log.LogRecord.ClaimBatch;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecord.ClaimOutcome;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;

/** The claims that make each non-idempotent request run at most once. */
final class ClaimTable {

    /**
     * Orders claims by the creation time of their requests, so that the oldest can be removed from
     * the front. The identifiers are version 7 UUIDs, whose leading bits are the creation time.
     */
    private static final Comparator<ClaimKey> CREATION_ORDER =
            ((Comparator<ClaimKey>) ClaimTable::compareMostSignificantBits)
                    .thenComparing(ClaimTable::compareLeastSignificantBits)
                    .thenComparing(ClaimKey::organisation);

    private final TreeMap<ClaimKey, ClaimState> claims = new TreeMap<>(CREATION_ORDER);

    private static int compareMostSignificantBits(ClaimKey left, ClaimKey right) {
        return Long.compareUnsigned(
                left.requestId().value().getMostSignificantBits(),
                right.requestId().value().getMostSignificantBits());
    }

    private static int compareLeastSignificantBits(ClaimKey left, ClaimKey right) {
        return Long.compareUnsigned(
                left.requestId().value().getLeastSignificantBits(),
                right.requestId().value().getLeastSignificantBits());
    }

    ClaimsDecided apply(long offset, Instant logTime, ClaimBatch batch) {
        List<ClaimKey> released = new ArrayList<>();
        for (ClaimKey key : batch.releases()) {
            if (isHeldBy(key, batch)) {
                claims.remove(key);
                released.add(key);
            }
        }
        List<ClaimState> granted = new ArrayList<>();
        List<RefusedClaim> refused = new ArrayList<>();
        for (ClaimKey key : batch.claims()) {
            ClaimState existing = claims.get(key);
            if (existing != null || isExpired(key, logTime)) {
                refused.add(new RefusedClaim(key, Optional.ofNullable(existing)));
                continue;
            }
            ClaimState claim = new ClaimState(key, batch.holder(), offset, false);
            claims.put(key, claim);
            granted.add(claim);
        }
        return new ClaimsDecided(
                batch.batchId(), batch.holder(), granted, refused, released, recordOutcomes(batch));
    }

    private List<ClaimKey> recordOutcomes(ClaimBatch batch) {
        List<ClaimKey> answered = new ArrayList<>();
        for (ClaimOutcome outcome : batch.outcomes()) {
            ClaimKey key = outcome.key();
            if (outcome.answered() && isHeldBy(key, batch)) {
                long offset = claims.get(key).offset();
                claims.put(key, new ClaimState(key, batch.holder(), offset, true));
                answered.add(key);
            }
        }
        return answered;
    }

    private boolean isHeldBy(ClaimKey key, ClaimBatch batch) {
        ClaimState claim = claims.get(key);
        return claim != null && claim.holder().equals(batch.holder());
    }

    /** Removes expired claims. Each claim is removed once, so the cost per record is small. */
    void prune(Instant logTime) {
        while (!claims.isEmpty() && isExpired(claims.firstKey(), logTime)) {
            claims.pollFirstEntry();
        }
    }

    /**
     * Returns whether the request is so old that its claim may have been pruned. A new claim on it
     * is never granted, because an earlier attempt may have run.
     */
    static boolean isExpired(ClaimKey key, Instant logTime) {
        Instant oldest = logTime.minus(SharedState.CLAIM_RETENTION);
        return key.requestId().creationTime().isBefore(oldest);
    }

    Optional<ClaimState> claim(ClaimKey key) {
        return Optional.ofNullable(claims.get(key));
    }

    Collection<ClaimState> claims() {
        return Collections.unmodifiableCollection(claims.values());
    }

    void restore(List<ClaimState> states) {
        claims.clear();
        states.forEach(claim -> claims.put(claim.key(), claim));
    }
}
