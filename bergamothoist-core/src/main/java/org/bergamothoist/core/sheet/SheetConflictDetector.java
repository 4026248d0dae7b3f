package org.bergamothoist.core.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.SheetVerdict.Conflict;

/** Detects conflicts between a submitted sheet and the organisations in force. */
public final class SheetConflictDetector {

    private SheetConflictDetector() {}

    /**
     * Returns the conflicts because of which a sheet is refused as a whole; it is accepted if there
     * are none.
     *
     * <p>An entry has no conflict if its base version or its content is the current one. A caller
     * key must belong to exactly one organisation, otherwise a caller could be served as another
     * organisation. If a sheet would assign a key twice, the conflict names the organisation that
     * owns the key.
     *
     * @param office the submitting office
     * @param current looks up an organisation in force by its identifier
     * @param byKeyDigest looks up an organisation in force by the digest of its caller key
     */
    public static List<Conflict> findConflicts(
            List<OrganisationEntry> entries,
            String office,
            Function<OrganisationId, Optional<OrganisationState>> current,
            Function<String, Optional<OrganisationState>> byKeyDigest) {
        List<Conflict> conflicts = new ArrayList<>();
        Map<OrganisationId, OrganisationEntry> entriesById = new HashMap<>();
        Map<String, OrganisationId> organisationsByKey = new HashMap<>();
        for (OrganisationEntry entry : entries) {
            Optional<OrganisationState> state = current.apply(entry.organisation());
            boolean isRepeated = entriesById.put(entry.organisation(), entry) != null;
            boolean sharesKey =
                    organisationsByKey.put(entry.keyDigest(), entry.organisation()) != null;
            if (isRepeated || sharesKey) {
                conflicts.add(conflict(entry, state, office));
            } else if (!isBasedOnCurrent(entry, state)) {
                conflicts.add(conflict(entry, state, office));
            }
        }
        for (OrganisationEntry entry : entries) {
            byKeyDigest
                    .apply(entry.keyDigest())
                    .filter(owner -> !owner.entry().organisation().equals(entry.organisation()))
                    .filter(owner -> keepsKey(owner, entriesById))
                    .ifPresent(owner -> conflicts.add(keyConflict(owner)));
        }
        return conflicts;
    }

    private static boolean isBasedOnCurrent(
            OrganisationEntry entry, Optional<OrganisationState> state) {
        if (state.isEmpty()) {
            return entry.baseVersion() == 0;
        }
        return entry.baseVersion() == state.get().version()
                || entry.sameContent(state.get().entry());
    }

    private static boolean keepsKey(
            OrganisationState owner, Map<OrganisationId, OrganisationEntry> entriesById) {
        OrganisationEntry change = entriesById.get(owner.entry().organisation());
        return change == null || change.keyDigest().equals(owner.entry().keyDigest());
    }

    private static Conflict conflict(
            OrganisationEntry entry, Optional<OrganisationState> state, String office) {
        return new Conflict(
                entry.organisation(),
                entry.baseVersion(),
                state.map(OrganisationState::version).orElse(0L),
                state.map(OrganisationState::office).orElse(office));
    }

    private static Conflict keyConflict(OrganisationState owner) {
        return new Conflict(owner.entry().organisation(), 0, owner.version(), owner.office());
    }
}
