package org.bergamothoist.core.sheet;

import java.util.List;

/**
 * The result of parsing a sheet: entries or faults, never both.
 *
 * @param entries sorted by organisation
 */
public record ParsedSheet(List<OrganisationEntry> entries, List<SheetValidationError> errors) {

    public ParsedSheet {
        entries = List.copyOf(entries);
        errors = List.copyOf(errors);
        if (!errors.isEmpty() && !entries.isEmpty()) {
            throw new IllegalArgumentException("a sheet with faults has no entries");
        }
    }

    /** Returns whether the sheet may be submitted. */
    public boolean isValid() {
        return errors.isEmpty();
    }
}
