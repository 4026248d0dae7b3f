package org.bergamothoist.gateway.caller;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamothoist.core.fleet.TargetState;

/** The attempts in progress at each target. Confined to the event loop. */
public final class ActiveAttempts {

    private final Map<String, Set<Attempt>> byTarget = new HashMap<>();

    private final Consumer<TargetState> onAdded;

    /**
     * Creates an empty register.
     *
     * @param onAdded learns of each target that a request is sent to
     */
    public ActiveAttempts(Consumer<TargetState> onAdded) {
        this.onAdded = onAdded;
    }

    void add(Attempt attempt) {
        byTarget.computeIfAbsent(attempt.targetId(), target -> new LinkedHashSet<>()).add(attempt);
        onAdded.accept(attempt.state());
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
