package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetStateTable;

/**
 * Room at targets by their registered slots and the outstanding requests of all daemons that are
 * known here.
 */
public final class TargetRoom {

    /**
     * Requests that a plain service's target queues for each of its slots; it refuses more. The
     * platform's targets have 6 slots and a queue of 24.
     */
    private static final int QUEUED_PER_SLOT = 4;

    private final TargetRegistry targets;
    private final TargetStateTable states;
    private final InstantSource clock;

    /** Creates the view of the targets. */
    public TargetRoom(TargetRegistry targets, TargetStateTable states, InstantSource clock) {
        this.targets = targets;
        this.states = states;
        this.clock = clock;
    }

    /** Returns the number of free slots at the targets of a service that accept requests. */
    public int freeSlots(String service) {
        Instant now = clock.instant();
        List<RegisteredTarget> accepting = states.acceptingOrAll(targets.accepting(service), now);
        return accepting.stream()
                .mapToInt(target -> Math.max(0, target.slots() - requests(target)))
                .sum();
    }

    /** Returns whether a slot of the target is free. */
    public boolean hasFreeSlot(RegisteredTarget target) {
        return requests(target) < target.slots();
    }

    /**
     * Returns whether a plain service's target accepts a request and begins with it in time. Until
     * a first response shows how long the service takes, its targets are assumed to have room.
     *
     * @param slotTime usual time of a request in a slot
     * @param longestWait longest wait in the target's queue
     */
    public boolean hasRoom(
            RegisteredTarget target, Optional<Duration> slotTime, Duration longestWait) {
        if (target.slots() <= 0 || slotTime.isEmpty()) {
            return true;
        }
        int requests = requests(target);
        int releasesBefore = Math.max(0, requests - target.slots() + 1);
        Duration wait = slotTime.get().multipliedBy(releasesBefore).dividedBy(target.slots());
        return requests < target.slots() * (1 + QUEUED_PER_SLOT)
                && wait.compareTo(longestWait) <= 0;
    }

    private int requests(RegisteredTarget target) {
        return states.getOrCreate(target.incarnation()).load().totalRequests(clock.instant());
    }
}
