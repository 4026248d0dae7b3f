package org.bergamothoist.core.identity;

/** Identifies an organisation by its name in the operators' sheets. */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

    public OrganisationId {
        Identifiers.require("organisation", value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
