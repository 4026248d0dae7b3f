package org.bergamothoist.core.identity;

/** Names an organisation, as the operators' sheet does. */
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
