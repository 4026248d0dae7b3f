package org.bergamothoist.gateway.caller;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamothoist.core.fleet.TargetState;

/** Registers the attempts in progress at each target. Confined to the event loop. */
public final class ActiveAttempts {

    private final Map<String, Set<Attempt>> byTarget = new HashMap<>();

    private final Consumer<TargetState> onAttemptStarted;
    private Consumer<String> onAttemptEnded = service -> {};

    /**
     * Creates an empty registry.
     *
     * @param onAttemptStarted receives the state of the target of each attempt that starts
     */
    public ActiveAttempts(Consumer<TargetState> onAttemptStarted) {
        this.onAttemptStarted = onAttemptStarted;
    }

    /** Sets what receives the service of each attempt that ends. */
    void setOnAttemptEnded(Consumer<String> action) {
        onAttemptEnded = action;
    }

    void add(Attempt attempt) {
        byTarget.computeIfAbsent(attempt.targetId(), targetId -> new LinkedHashSet<>())
                .add(attempt);
        onAttemptStarted.accept(attempt.targetState());
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
        onAttemptEnded.accept(attempt.service());
    }

    /** Migrates the resumable streams of a target that is about to pause to other targets. */
    public void migrateStreamsFrom(String targetId) {
        List.copyOf(byTarget.getOrDefault(targetId, Set.of())).forEach(Attempt::migrate);
    }
}
