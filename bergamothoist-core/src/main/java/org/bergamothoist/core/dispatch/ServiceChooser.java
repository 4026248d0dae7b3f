package org.bergamothoist.core.dispatch;

import java.util.Optional;
import java.util.function.Predicate;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.Target;

/** Selects the instance of a plain service for a call. */
public interface ServiceChooser {

    /** Returns an eligible instance of the service that accepts calls, or empty. */
    Optional<Target> choose(String service, Predicate<TargetId> eligible);

    /** Returns whether an instance that was chosen earlier still accepts calls. */
    boolean confirm(Target target);
}
