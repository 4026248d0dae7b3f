package org.bergamothoist.core.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.ApplyResult.SheetDecided;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetConflictDetector;
import org.bergamothoist.core.sheet.SheetVerdict;

/** The organisations in force and the verdicts on recently submitted sheets. */
final class OrganisationTable {

    /** Maximum number of verdicts kept to detect repeated submissions of a sheet. */
    static final int MAXIMUM_VERDICTS = 1_000;

    private final TreeMap<OrganisationId, OrganisationState> organisations = new TreeMap<>();
    private final Map<String, OrganisationState> byKeyDigest = new HashMap<>();

    /** By digest of the sheet, oldest first. */
    private final LinkedHashMap<String, SheetVerdict> verdicts = new LinkedHashMap<>();

    SheetDecided apply(LogEntry entry, LogRecord.SheetSubmission sheet) {
        SheetVerdict earlier = verdicts.get(sheet.digest());
        if (earlier != null) {
            return new SheetDecided(verdictOnDuplicate(earlier, entry.offset()), List.of());
        }
        List<SheetVerdict.Conflict> conflicts =
                SheetConflictDetector.findConflicts(
                        sheet.entries(), sheet.office(), this::organisation, this::byKeyDigest);
        SheetVerdict verdict =
                new SheetVerdict(
                        entry.offset(),
                        entry.offset(),
                        sheet.digest(),
                        sheet.office(),
                        sheet.operator(),
                        conflicts.isEmpty(),
                        entry.appendTime(),
                        conflicts);
        addVerdict(verdict);
        List<OrganisationId> changed =
                verdict.accepted() ? applyEntries(sheet, entry.offset()) : List.of();
        return new SheetDecided(verdict, changed);
    }

    private static SheetVerdict verdictOnDuplicate(SheetVerdict first, long offset) {
        return new SheetVerdict(
                offset,
                first.firstOffset(),
                first.digest(),
                first.office(),
                first.operator(),
                first.accepted(),
                first.decidedAt(),
                first.conflicts());
    }

    private void addVerdict(SheetVerdict verdict) {
        verdicts.put(verdict.digest(), verdict);
        if (verdicts.size() > MAXIMUM_VERDICTS) {
            verdicts.remove(verdicts.keySet().iterator().next());
        }
    }

    private List<OrganisationId> applyEntries(LogRecord.SheetSubmission sheet, long offset) {
        List<OrganisationEntry> changes = new ArrayList<>();
        for (OrganisationEntry entry : sheet.entries()) {
            OrganisationState state = organisations.get(entry.organisation());
            if (state == null || !state.entry().sameContent(entry)) {
                changes.add(entry);
            }
        }
        // Removes all old keys before adding new ones: organisations may swap keys in one sheet.
        for (OrganisationEntry entry : changes) {
            OrganisationState old = organisations.remove(entry.organisation());
            if (old != null) {
                byKeyDigest.remove(old.entry().keyDigest());
            }
        }
        for (OrganisationEntry entry : changes) {
            put(new OrganisationState(entry, offset, sheet.office()));
        }
        return changes.stream().map(OrganisationEntry::organisation).toList();
    }

    private void put(OrganisationState state) {
        organisations.put(state.entry().organisation(), state);
        byKeyDigest.put(state.entry().keyDigest(), state);
    }

    Optional<OrganisationState> organisation(OrganisationId organisation) {
        return Optional.ofNullable(organisations.get(organisation));
    }

    Optional<OrganisationState> byKeyDigest(String keyDigest) {
        return Optional.ofNullable(byKeyDigest.get(keyDigest));
    }

    Collection<OrganisationState> organisations() {
        return Collections.unmodifiableCollection(organisations.values());
    }

    Optional<SheetVerdict> verdict(String digest) {
        return Optional.ofNullable(verdicts.get(digest));
    }

    Collection<SheetVerdict> verdicts() {
        return Collections.unmodifiableCollection(verdicts.values());
    }

    void restore(List<OrganisationState> states, List<SheetVerdict> recent) {
        organisations.clear();
        byKeyDigest.clear();
        verdicts.clear();
        states.forEach(this::put);
        recent.forEach(this::addVerdict);
    }
}
