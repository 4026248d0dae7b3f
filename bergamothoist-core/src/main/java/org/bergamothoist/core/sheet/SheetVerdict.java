package org.bergamothoist.core.sheet;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * What the fold decided on a submitted sheet.
 *
 * @param offset offset of the submission's record
 * @param firstOffset offset of the first record with the same content; equals {@code offset} unless
 *     this is a repeat
 * @param decidedAt append time of the record
 * @param conflicts organisations whose base version was not current; empty if accepted
 */
public record SheetVerdict(
        long offset,
        long firstOffset,
        String digest,
        String office,
        String operator,
        boolean accepted,
        Instant decidedAt,
        List<Conflict> conflicts) {

    public SheetVerdict {
        conflicts = List.copyOf(conflicts);
    }

    /**
     * An organisation that has changed since the sheet was made.
     *
     * @param baseVersion version that the sheet names
     * @param currentVersion version in force
     * @param changedBy office that made the current version
     */
    public record Conflict(
            OrganisationId organisation, long baseVersion, long currentVersion, String changedBy) {}
}
