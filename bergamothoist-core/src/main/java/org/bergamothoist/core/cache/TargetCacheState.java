package org.bergamothoist.core.cache;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;

/** What the index knows of one target, entries aside. */
final class TargetCacheState {

    static final long UNKNOWN_SEQUENCE = -1;

    /** Old incarnations remembered, so that late messages of theirs are recognised. */
    private static final int REMEMBERED_INCARNATIONS = 8;

    final TargetId target;
    final int slot;
    final Deque<EngineIncarnation> retiredIncarnations = new ArrayDeque<>();
    EngineIncarnation incarnation;

    /** Owner number of the current entries; never used for another incarnation or snapshot. */
    int owner;

    /** Incarnation that the current owner number was given out for. */
    EngineIncarnation ownerIncarnation;

    boolean confirmed;
    long connectionEpoch;
    long lastSequence = UNKNOWN_SEQUENCE;
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
