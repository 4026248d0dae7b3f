package org.bergamothoist.gateway.caller;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The attempts in progress at each target. Confined to the event loop. */
public final class ActiveAttempts {

    private final Map<String, Set<Attempt>> byTarget = new HashMap<>();

    /** Creates an empty register. */
    public ActiveAttempts() {}

    void add(Attempt attempt) {
        byTarget.computeIfAbsent(attempt.targetId(), target -> new LinkedHashSet<>()).add(attempt);
    }

    void remove(Attempt attempt) {
        Set<Attempt> attempts = byTarget.get(attempt.targetId());
        if (attempts == null) {
            return;
        }
        attempts.remove(attempt);
        if (attempts.isEmpty()) {
            byTarget.remove(attempt.targetId());
        }
    }

    /** Lets the streams that can go on elsewhere leave a target that is about to pause. */
    public void moveStreams(String target) {
        List.copyOf(byTarget.getOrDefault(target, Set.of())).forEach(Attempt::moveAway);
    }
}
