package org.bergamothoist.core.sheet;

import org.bergamothoist.core.identity.ModelKey;

/**
 * A model that an organisation may use.
 *
 * @param nonIdempotent whether requests to it must not be repeated
 */
public record ModelEntitlement(ModelKey key, boolean nonIdempotent) {}
