package org.bergamothoist.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/** The KV cache store, which engines export blocks to and import blocks from. */
@FunctionalInterface
public interface CacheStore {

    /**
     * Returns how many leading blocks of the chain the store holds under the full key; fails with
     * {@link PlatformException}.
     */
    CompletionStage<Integer> storedBlocks(
            OrganisationId organisation, ModelKey key, List<Long> chain);
}
