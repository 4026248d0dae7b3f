package org.bergamothoist.core.sheet;

import java.util.Objects;

/**
 * An organisation in force, as defined by the last accepted sheet that changed it.
 *
 * @param version log offset of the submission that last changed it
 * @param office office whose sheet last changed it
 */
public record OrganisationState(OrganisationEntry entry, long version, String office) {

    public OrganisationState {
        Objects.requireNonNull(entry);
        Objects.requireNonNull(office);
    }
}
