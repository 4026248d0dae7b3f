package org.bergamothoist.core.sheet;

import java.util.Objects;

/**
 * An organisation as the accepted sheets have it.
 *
 * @param version offset of the record that last changed it
 * @param office office that last changed it
 */
public record OrganisationState(OrganisationEntry entry, long version, String office) {

    public OrganisationState {
        Objects.requireNonNull(entry);
        Objects.requireNonNull(office);
    }
}
