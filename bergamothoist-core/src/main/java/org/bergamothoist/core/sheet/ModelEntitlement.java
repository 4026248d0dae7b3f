package org.bergamothoist.core.sheet;

import org.bergamothoist.core.identity.ModelKey;

/**
 * The permission of an organisation to use a model.
 *
 * @param key model, adapter and version
 * @param nonIdempotent whether a request to it must run at most once
 */
public record ModelEntitlement(ModelKey key, boolean nonIdempotent) {}
