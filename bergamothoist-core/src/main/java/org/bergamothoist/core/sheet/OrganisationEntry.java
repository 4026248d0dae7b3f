package org.bergamothoist.core.sheet;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * The definition of one organisation in a sheet. Models and services are sorted, so that equality
 * does not depend on the order of the sheet's rows.
 *
 * @param baseVersion version of the organisation on which the sheet is based, 0 for a new one
 * @param keyDigest hexadecimal SHA-256 of the organisation's caller key
 */
public record OrganisationEntry(
        OrganisationId organisation,
        long baseVersion,
        String keyDigest,
        List<ModelEntitlement> models,
        List<ServiceEntitlement> services,
        OrganisationLimits limits) {

    private static final Comparator<ModelEntitlement> MODEL_ORDER =
            Comparator.comparing((ModelEntitlement entitlement) -> entitlement.key().model())
                    .thenComparing(entitlement -> entitlement.key().adapter())
                    .thenComparing(entitlement -> entitlement.key().version())
                    .thenComparing(ModelEntitlement::nonIdempotent);

    private static final Comparator<ServiceEntitlement> SERVICE_ORDER =
            Comparator.comparing(ServiceEntitlement::service)
                    .thenComparing(ServiceEntitlement::pathPrefix)
                    .thenComparing(ServiceEntitlement::nonIdempotent);

    public OrganisationEntry {
        Objects.requireNonNull(organisation);
        Objects.requireNonNull(keyDigest);
        Objects.requireNonNull(limits);
        models = models.stream().sorted(MODEL_ORDER).toList();
        services = services.stream().sorted(SERVICE_ORDER).toList();
    }

    /** Returns whether both entries are equal except for their base versions. */
    public boolean sameContent(OrganisationEntry other) {
        return organisation.equals(other.organisation)
                && keyDigest.equals(other.keyDigest)
                && models.equals(other.models)
                && services.equals(other.services)
                && limits.equals(other.limits);
    }
}
