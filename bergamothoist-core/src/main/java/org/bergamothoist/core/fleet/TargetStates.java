package org.bergamothoist.core.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The states of all known incarnations of targets. Confined to the control thread. */
public final class TargetStates {

    private final Map<String, TargetState> states = new HashMap<>();

    /** Returns the state of an incarnation; that of an older one is dropped. */
    public TargetState of(TargetIncarnation incarnation) {
        TargetState known = states.get(incarnation.id());
        if (known != null && known.incarnation().equals(incarnation)) {
            return known;
        }
        TargetState fresh = new TargetState(incarnation);
        states.put(incarnation.id(), fresh);
        return fresh;
    }

    /** Returns the state of the newest known incarnation, or empty. */
    public Optional<TargetState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Forgets a target that is gone. */
    public void forget(String id) {
        states.remove(id);
    }

    /** Returns the targets that take requests now; if none does, all, since one may recover. */
    public List<RegisteredTarget> acceptingElseAll(List<RegisteredTarget> targets, Instant now) {
        List<RegisteredTarget> accepting =
                targets.stream()
                        .filter(target -> of(target.incarnation()).isAccepting(now))
                        .toList();
        return accepting.isEmpty() ? targets : accepting;
    }
}
