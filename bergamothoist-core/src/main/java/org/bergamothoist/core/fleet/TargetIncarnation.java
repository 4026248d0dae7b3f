package org.bergamothoist.core.fleet;

import java.time.Instant;

/**
 * One run of a target's process. A restarted target may keep its identifier, but has lost its state
 * and cache.
 *
 * @param id identifier of the target
 * @param startedAt start of the process by the target's clock
 */
public record TargetIncarnation(String id, Instant startedAt) {

    @Override
    public String toString() {
        return id + "@" + startedAt.toEpochMilli();
    }
}
