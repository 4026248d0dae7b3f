package org.bergamothoist.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.Target;

/** Chooses the instance of a plain service for a call. */
@FunctionalInterface
public interface ServiceChooser {

    /** Returns an accepting instance of the service that is not excluded. */
    Optional<Target> choose(String service, Set<TargetId> excluded);
}
