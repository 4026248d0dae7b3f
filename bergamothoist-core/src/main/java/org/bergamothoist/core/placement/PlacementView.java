package org.bergamothoist.core.placement;

import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;

/** The state that placement policies read. */
public interface PlacementView {

    /** Returns the targets that serve the model key and accept work. */
    EligibleTargets eligible(ModelKey key);

    /** Returns whether the target is running a request that may have crashed an engine. */
    boolean runsSuspect(TargetId target);

    /** Returns the index of the blocks in the targets' caches. */
    CacheIndex index();

    /** Returns the estimator of the targets' load. */
    LoadEstimator load();
}
