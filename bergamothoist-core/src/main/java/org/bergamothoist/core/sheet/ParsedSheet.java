package org.bergamothoist.core.sheet;

import java.util.List;

/**
 * The result of parsing a sheet: either entries or validation errors.
 *
 * @param entries organisations, sorted by identifier; empty if there are errors
 */
public record ParsedSheet(List<OrganisationEntry> entries, List<SheetValidationError> errors) {

    public ParsedSheet {
        entries = List.copyOf(entries);
        errors = List.copyOf(errors);
        if (!errors.isEmpty() && !entries.isEmpty()) {
            throw new IllegalArgumentException(
                    "a sheet with validation errors must have no entries, but has "
                            + entries.size());
        }
    }

    /** Returns whether the sheet has no validation errors and may be submitted. */
    public boolean isValid() {
        return errors.isEmpty();
    }
}
