package org.bergamothoist.core.sheet;

import java.util.Comparator;
import java.util.List;
import org.bergamothoist.core.log.CanonicalDigest;

/**
 * Computes the digest that identifies a sheet.
 *
 * <p>The digest covers the content and the base versions and does not depend on the order of rows.
 * A sheet that is submitted again therefore has the same digest, whereas the same content based on
 * a newer version is a different sheet, which is checked again and accepted without effect.
 */
public final class SheetDigest {

    private SheetDigest() {}

    /** Returns the hexadecimal SHA-256 of a sheet's content in canonical order. */
    public static String of(List<OrganisationEntry> entries) {
        CanonicalDigest digest = new CanonicalDigest();
        digest.add(entries.size());
        entries.stream()
                .sorted(Comparator.comparing(OrganisationEntry::organisation))
                .forEach(entry -> add(digest, entry));
        return digest.hexadecimal();
    }

    /** Adds an organisation and its base version to a digest. */
    public static void add(CanonicalDigest digest, OrganisationEntry entry) {
        digest.add(entry.organisation().value()).add(entry.baseVersion()).add(entry.keyDigest());
        digest.add(entry.models().size());
        for (ModelEntitlement model : entry.models()) {
            digest.add(model.key().model())
                    .add(model.key().adapter())
                    .add(model.key().version())
                    .add(model.nonIdempotent());
        }
        digest.add(entry.services().size());
        for (ServiceEntitlement service : entry.services()) {
            digest.add(service.service()).add(service.pathPrefix()).add(service.nonIdempotent());
        }
        digest.add(entry.limits().requestsPerSecond())
                .add(entry.limits().concurrentStreams())
                .add(entry.limits().weight());
    }
}
