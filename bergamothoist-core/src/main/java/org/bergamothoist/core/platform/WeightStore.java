package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.ModelKey;

/** Client of the store of model weights, which is rate-limited. */
@FunctionalInterface
public interface WeightStore {

    /** Returns whether the store has the weights; fails with {@link PlatformException}. */
    CompletionStage<Boolean> contains(ModelKey key);
}
