package org.bergamothoist.core.sheet;

import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * What a sheet says of one organisation.
 *
 * @param keyDigest hexadecimal SHA-256 of the organisation's caller key
 * @param baseVersion version of the organisation that the sheet was made from, 0 for a new one
 */
public record OrganisationEntry(
        OrganisationId organisation,
        long baseVersion,
        String keyDigest,
        List<Entitlement> models,
        List<ServiceEntitlement> services,
        OrganisationLimits limits) {

    public OrganisationEntry {
        Objects.requireNonNull(organisation);
        Objects.requireNonNull(keyDigest);
        Objects.requireNonNull(limits);
        models = List.copyOf(models);
        services = List.copyOf(services);
    }

    /** Returns whether both entries say the same, base versions aside. */
    public boolean sameContent(OrganisationEntry other) {
        return organisation.equals(other.organisation)
                && keyDigest.equals(other.keyDigest)
                && models.equals(other.models)
                && services.equals(other.services)
                && limits.equals(other.limits);
    }
}
