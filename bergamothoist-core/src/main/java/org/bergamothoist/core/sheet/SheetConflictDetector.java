package org.bergamothoist.core.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.SheetVerdict.Conflict;

/** Decides whether a sheet fits the organisations in force. */
public final class SheetConflictDetector {

    private SheetConflictDetector() {}

    /**
     * Returns the organisations that prevent the acceptance of a sheet; an empty list accepts it as
     * a whole.
     *
     * <p>An entry fits if its base version or its content is the current one. A caller key must
     * name exactly one organisation, otherwise a caller could be served as another organisation; a
     * sheet that would break this is refused, and the conflict names the organisation that has the
     * key.
     *
     * @param office the submitting office
     * @param current looks up an organisation in force
     * @param byKeyDigest looks up the organisation in force that has a caller key
     */
    public static List<Conflict> conflicts(
            List<OrganisationEntry> entries,
            String office,
            Function<OrganisationId, Optional<OrganisationState>> current,
            Function<String, Optional<OrganisationState>> byKeyDigest) {
        List<Conflict> conflicts = new ArrayList<>();
        Map<OrganisationId, OrganisationEntry> named = new HashMap<>();
        Map<String, OrganisationId> keys = new HashMap<>();
        for (OrganisationEntry entry : entries) {
            Optional<OrganisationState> state = current.apply(entry.organisation());
            boolean namedBefore = named.put(entry.organisation(), entry) != null;
            boolean keyUsedBefore = keys.put(entry.keyDigest(), entry.organisation()) != null;
            if (namedBefore || keyUsedBefore) {
                conflicts.add(conflict(entry, state, office));
            } else if (!fits(entry, state)) {
                conflicts.add(conflict(entry, state, office));
            }
        }
        for (OrganisationEntry entry : entries) {
            byKeyDigest
                    .apply(entry.keyDigest())
                    .filter(owner -> !owner.entry().organisation().equals(entry.organisation()))
                    .filter(owner -> keepsKey(owner, named))
                    .ifPresent(owner -> conflicts.add(keyConflict(owner)));
        }
        return conflicts;
    }

    private static boolean fits(OrganisationEntry entry, Optional<OrganisationState> state) {
        if (state.isEmpty()) {
            return entry.baseVersion() == 0;
        }
        return entry.baseVersion() == state.get().version()
                || entry.sameContent(state.get().entry());
    }

    private static boolean keepsKey(
            OrganisationState owner, Map<OrganisationId, OrganisationEntry> named) {
        OrganisationEntry change = named.get(owner.entry().organisation());
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
