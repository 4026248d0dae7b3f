package org.bergamothoist.core.fleet;

import java.time.Instant;

/**
 * One run of a target. A restarted target may keep its identifier, but holds nothing of before.
 *
 * @param startedAt by the target's clock
 */
public record TargetIncarnation(String id, Instant startedAt) {

    @Override
    public String toString() {
        return id + "@" + startedAt.toEpochMilli();
    }
}
