package org.bergamothoist.measure;

import java.util.Locale;

/** The policies that are compared. */
public enum PolicyKind {
    /** Any engine. */
    RANDOM,
    /** The engine with the least known load. */
    LEAST_LOADED,
    /** A consistent hash of the first block. */
    FIRST_BLOCK_HASH,
    /** The product's policy. */
    BERGAMOTHOIST,
    /** The product's objective with perfect knowledge of every engine's cache and load. */
    ORACLE;

    /** Returns the name used in tables and on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
