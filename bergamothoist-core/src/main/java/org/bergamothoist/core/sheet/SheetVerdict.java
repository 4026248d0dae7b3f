package org.bergamothoist.core.sheet;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * The decision on a submitted sheet. All daemons reach the same one by applying its log record.
 *
 * @param offset log offset of the submission
 * @param firstOffset log offset of the first submission of the same sheet; differs from {@code
 *     offset} if this submission is a duplicate
 * @param digest digest of the sheet, see {@link SheetDigest}
 * @param office name of the submitting office
 * @param operator name of the submitting operator
 * @param decidedAt append time of the first submission
 * @param conflicts conflicts with the organisations in force; empty if accepted
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
     * An organisation because of which the sheet was refused: it has changed since its base
     * version, or its caller key would no longer be unique.
     *
     * @param baseVersion version on which the sheet is based
     * @param currentVersion version in force
     * @param changedBy office that submitted the current version
     */
    public record Conflict(
            OrganisationId organisation, long baseVersion, long currentVersion, String changedBy) {}
}
