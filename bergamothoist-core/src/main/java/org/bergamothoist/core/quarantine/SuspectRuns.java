package org.bergamothoist.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Where this daemon runs suspect contents, so that they are kept apart and the loss of a target
 * tells which of them caused it. Confined to the control thread.
 */
public final class SuspectRuns {

    private final Map<String, Map<Fingerprint, Integer>> runsByTarget = new HashMap<>();

    /** Records that a target starts to run a suspect content. */
    public void begin(String target, Fingerprint content) {
        runsByTarget
                .computeIfAbsent(target, key -> new HashMap<>())
                .merge(content, 1, Integer::sum);
    }

    /** Records the end of a run. */
    public void end(String target, Fingerprint content) {
        runsByTarget.computeIfPresent(
                target,
                (key, runs) -> {
                    runs.computeIfPresent(content, (run, count) -> count == 1 ? null : count - 1);
                    return runs.isEmpty() ? null : runs;
                });
    }

    /** Returns the targets that run a suspect content. */
    public Set<String> targets() {
        return targetsRunning(content -> true);
    }

    /** Returns the targets that run a suspect content for which the condition holds. */
    public Set<String> targetsRunning(Predicate<Fingerprint> condition) {
        return runsByTarget.entrySet().stream()
                .filter(entry -> entry.getValue().keySet().stream().anyMatch(condition))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns whether any target runs the content. */
    public boolean isRunning(Fingerprint content) {
        return runsByTarget.values().stream().anyMatch(runs -> runs.containsKey(content));
    }
}
