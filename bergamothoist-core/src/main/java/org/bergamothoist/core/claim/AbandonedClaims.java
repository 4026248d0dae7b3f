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
 * Remembers claims that were handed to the log and given up, and the grants that were released. It
 * finds abandoned claims in a state that was replaced as a whole, where no single record shows
 * them.
 */
final class AbandonedClaims {

    private final Set<ClaimKey> keys = new LinkedHashSet<>();
    private final Map<ClaimKey, Long> releasedOffsets = new LinkedHashMap<>();

    void add(ClaimKey key) {
        keys.add(key);
    }

    void remove(ClaimKey key) {
        keys.remove(key);
    }

    void markReleased(ClaimKey key, long offset) {
        keys.remove(key);
        releasedOffsets.remove(key);
        releasedOffsets.put(key, offset);
    }

    /** Returns abandoned claims that the state shows as held by the daemon and not yet released. */
    List<ClaimState> heldBy(DaemonId daemon, SharedState state) {
        List<ClaimState> held = new ArrayList<>();
        for (ClaimKey key : keys) {
            state.claim(key)
                    .filter(claim -> claim.holder().equals(daemon))
                    .filter(claim -> claim.offset() > releasedOffsets.getOrDefault(key, 0L))
                    .ifPresent(held::add);
        }
        return held;
    }

    /** Forgets requests that are too old to be granted, in the order of their arrival. */
    void prune(Predicate<ClaimKey> expired) {
        removeLeading(keys.iterator(), expired);
        removeLeading(releasedOffsets.keySet().iterator(), expired);
    }

    private static void removeLeading(Iterator<ClaimKey> keys, Predicate<ClaimKey> expired) {
        while (keys.hasNext() && expired.test(keys.next())) {
            keys.remove();
        }
    }
}
