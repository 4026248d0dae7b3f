package org.bergamothoist.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/** Client of the KV cache store, to which engines export blocks and from which they import them. */
@FunctionalInterface
public interface CacheStore {

    /**
     * Returns the number of leading blocks that the store holds for the organisation and model key;
     * fails with {@link PlatformException}.
     *
     * @param chain chained hashes of the blocks, in order
     */
    CompletionStage<Integer> storedBlocks(
            OrganisationId organisation, ModelKey key, List<Long> chain);
}
