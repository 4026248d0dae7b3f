package org.bergamothoist.core.identity;

/** Identifies a target: a model engine or an instance of a plain service. */
public record TargetId(String value) implements Comparable<TargetId> {

    public TargetId {
        Identifiers.require("target", value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
