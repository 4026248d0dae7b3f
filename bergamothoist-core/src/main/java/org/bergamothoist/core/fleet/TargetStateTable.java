package org.bergamothoist.core.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The states of the newest known incarnation of each target. Confined to the control thread. */
public final class TargetStateTable {

    private final Map<String, TargetState> states = new HashMap<>();

    /**
     * Returns the state of an incarnation, which is created if necessary and then replaces that of
     * an older incarnation of the target. For an incarnation that is older than the known one,
     * returns a state that is not kept.
     */
    public TargetState getOrCreate(TargetIncarnation incarnation) {
        TargetState known = states.get(incarnation.id());
        if (known != null && known.incarnation().equals(incarnation)) {
            return known;
        }
        TargetState created = new TargetState(incarnation);
        if (known == null || incarnation.startedAt().isAfter(known.incarnation().startedAt())) {
            states.put(incarnation.id(), created);
        }
        return created;
    }

    /** Returns the state of the newest known incarnation, or empty. */
    public Optional<TargetState> find(String id) {
        return Optional.ofNullable(states.get(id));
    }

    /** Removes the state of a target that is gone. */
    public void remove(String id) {
        states.remove(id);
    }

    /**
     * Returns the targets that accept requests now; if there are none, all targets, since one of
     * them may have recovered.
     */
    public List<RegisteredTarget> acceptingOrAll(List<RegisteredTarget> targets, Instant now) {
        List<RegisteredTarget> accepting =
                targets.stream()
                        .filter(target -> getOrCreate(target.incarnation()).isAccepting(now))
                        .toList();
        return accepting.isEmpty() ? targets : accepting;
    }
}
