package org.bergamothoist.core.cache;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;

/** State of one target in the cache index, apart from its entries. */
final class TargetCacheState {

    static final long UNKNOWN_SEQUENCE = -1;

    /**
     * Number of replaced incarnations that are remembered in order to recognise their late
     * messages.
     */
    private static final int REMEMBERED_INCARNATIONS = 8;

    final TargetId target;
    final int slot;
    final Deque<EngineIncarnation> retiredIncarnations = new ArrayDeque<>();
    EngineIncarnation incarnation;

    /** Owner number of the current entries. A new incarnation or snapshot gets a new number. */
    int owner;

    /** Incarnation for which the current owner number was assigned. */
    EngineIncarnation ownerIncarnation;

    /** Whether the incarnation was observed after the last loss of the connection. */
    boolean confirmed;

    /** Number of lost connections. */
    long connectionEpoch;

    /** Sequence number of the last applied event or snapshot. */
    long lastSequence = UNKNOWN_SEQUENCE;

    /** Sequence number of the last applied snapshot. */
    long snapshotSequence = UNKNOWN_SEQUENCE;

    boolean needsResynchronisation = true;

    TargetCacheState(TargetId target, int slot) {
        this.target = target;
        this.slot = slot;
    }

    boolean isCurrentIncarnation(EngineIncarnation other) {
        return confirmed && other.equals(incarnation);
    }

    void retireIncarnation() {
        if (incarnation == null) {
            return;
        }
        retiredIncarnations.addLast(incarnation);
        if (retiredIncarnations.size() > REMEMBERED_INCARNATIONS) {
            retiredIncarnations.removeFirst();
        }
    }
}
