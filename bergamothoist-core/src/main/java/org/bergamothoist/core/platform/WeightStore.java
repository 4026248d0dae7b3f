package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.ModelKey;

/** The rate-limited store of model weights. */
@FunctionalInterface
public interface WeightStore {

    /** Returns whether the weights exist; fails with {@link PlatformException}. */
    CompletionStage<Boolean> contains(ModelKey key);
}
