package org.bergamothoist.core.placement;

import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;

/** The state that a policy reads. */
public interface PlacementView {

    /** Returns the targets that serve the model key and accept work. */
    EligibleTargets eligible(ModelKey key);

    /** Returns whether the target runs a request that may have crashed an engine. */
    boolean runsSuspect(TargetId target);

    /** Returns what is known of the targets' caches. */
    CacheIndex index();

    /** Returns what is known of the targets' load. */
    LoadEstimator load();
}
