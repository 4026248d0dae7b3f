package org.bergamothoist.daemon.operator;

import java.util.List;
import org.bergamothoist.core.sheet.OrganisationEntry;

/** Reads a sheet from CSV text. */
@FunctionalInterface
public interface SheetParser {

    /**
     * Returns the sheet's organisations.
     *
     * @throws SheetFaultsException with every fault of the sheet
     */
    List<OrganisationEntry> parse(String csv);
}
