package org.bergamothoist.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;

/**
 * Tracks claims that were appended to the log but abandoned before their confirmation, and the
 * offsets of released grants. After the shared state was replaced by a snapshot, no record shows
 * which abandoned claims were granted; this class finds them in the new state.
 */
final class AbandonedClaims {

    private final Set<ClaimKey> abandonedKeys = new LinkedHashSet<>();
    private final Map<ClaimKey, Long> releasedOffsets = new LinkedHashMap<>();

    /** Adds a claim that was abandoned after it had been handed to the log. */
    void add(ClaimKey key) {
        abandonedKeys.add(key);
    }

    /** Removes a claim that was granted to a later submission of the same request. */
    void remove(ClaimKey key) {
        abandonedKeys.remove(key);
    }

    /** Records that the grant at the offset is being released, so that it is not released twice. */
    void markReleased(ClaimKey key, long offset) {
        abandonedKeys.remove(key);
        releasedOffsets.remove(key);
        releasedOffsets.put(key, offset);
    }

    /**
     * Returns the abandoned claims that the daemon holds according to the state and has not
     * released.
     */
    List<ClaimState> unreleasedClaimsOf(DaemonId daemon, SharedState state) {
        List<ClaimState> held = new ArrayList<>();
        for (ClaimKey key : abandonedKeys) {
            state.claim(key)
                    .filter(claim -> claim.holder().equals(daemon))
                    .filter(claim -> claim.offset() > releasedOffsets.getOrDefault(key, 0L))
                    .ifPresent(held::add);
        }
        return held;
    }

    /**
     * Removes requests that are too old to be granted, oldest first, up to the first one that is
     * not expired.
     */
    void removeExpired(Predicate<ClaimKey> expired) {
        removeLeading(abandonedKeys.iterator(), expired);
        removeLeading(releasedOffsets.keySet().iterator(), expired);
    }

    private static void removeLeading(Iterator<ClaimKey> keys, Predicate<ClaimKey> expired) {
        while (keys.hasNext() && expired.test(keys.next())) {
            keys.remove();
        }
    }
}
