package org.bergamothoist.daemon.operator;

import java.util.List;
import org.bergamothoist.core.sheet.OrganisationState;

/** Writes organisations as CSV text that a {@link SheetParser} reads. */
@FunctionalInterface
public interface SheetPrinter {

    /** Returns the text, with each organisation's current version as its base version. */
    String print(List<OrganisationState> organisations);
}
