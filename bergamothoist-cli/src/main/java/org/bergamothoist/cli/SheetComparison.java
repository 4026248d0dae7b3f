package org.bergamothoist.cli;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetDifference;
import org.bergamothoist.daemon.operator.SheetParser;

/** Compares a sheet with the organisations that a daemon has in force. */
final class SheetComparison {

    private static final String CURRENT = "/operator/sheets/current";

    private SheetComparison() {}

    /** Returns what the sheet would change; fails with {@link CommandException}. */
    static SheetDifference compare(
            Collection<OrganisationEntry> sheet, DaemonClient daemon, SheetParser parser) {
        Map<OrganisationId, OrganisationState> current = new TreeMap<>();
        for (OrganisationEntry entry : parser.parse(daemon.csv(CURRENT))) {
            // The daemon writes current versions as base versions; the CSV form names no office.
            OrganisationState state = new OrganisationState(entry, entry.baseVersion(), "");
            current.put(entry.organisation(), state);
        }
        return SheetDifference.between(id -> Optional.ofNullable(current.get(id)), sheet);
    }
}
