package org.bergamothoist.core.sheet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * The difference between a sheet and the organisations in force.
 *
 * @param organisations organisations that the sheet would change, sorted by identifier
 */
public record SheetDifference(List<OrganisationDifference> organisations) {

    public SheetDifference {
        organisations = List.copyOf(organisations);
    }

    /**
     * The changes to one organisation.
     *
     * @param baseVersion version on which the sheet is based
     * @param currentVersion version in force, 0 if the organisation is new
     * @param changedBy office that submitted the current version; empty if the organisation is new
     */
    public record OrganisationDifference(
            OrganisationId organisation,
            long baseVersion,
            long currentVersion,
            String changedBy,
            List<Change> changes) {

        public OrganisationDifference {
            changes = List.copyOf(changes);
        }

        /** Returns whether the sheet is based on another version than the current one. */
        public boolean isConflict() {
            return baseVersion != currentVersion;
        }
    }

    /**
     * The change of one property of an organisation.
     *
     * @param subject name of the changed item, such as a model; empty for kinds that occur only
     *     once
     * @param before value in force; empty if the sheet adds the item
     * @param after value in the sheet; empty if the sheet removes the item
     */
    public record Change(Kind kind, String subject, String before, String after) {}

    /** The kind of property that changes. */
    public enum Kind {
        CALLER_KEY("caller key"),
        MODEL("model"),
        SERVICE("service"),
        REQUESTS_PER_SECOND("requests per second"),
        CONCURRENT_STREAMS("concurrent streams"),
        WEIGHT("weight");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /**
     * Compares a sheet with the organisations in force. Organisations that are not in the sheet are
     * left out, since the sheet does not change them.
     *
     * @param current looks up an organisation in force by its identifier
     */
    public static SheetDifference between(
            Function<OrganisationId, Optional<OrganisationState>> current,
            Collection<OrganisationEntry> entries) {
        Map<OrganisationId, OrganisationDifference> differences = new TreeMap<>();
        for (OrganisationEntry entry : entries) {
            Optional<OrganisationState> state = current.apply(entry.organisation());
            if (state.filter(inForce -> inForce.entry().sameContent(entry)).isEmpty()) {
                differences.put(entry.organisation(), difference(state, entry));
            }
        }
        return new SheetDifference(List.copyOf(differences.values()));
    }

    private static OrganisationDifference difference(
            Optional<OrganisationState> state, OrganisationEntry entry) {
        Optional<OrganisationEntry> before = state.map(OrganisationState::entry);
        List<Change> changes = new ArrayList<>();
        compare(
                Kind.CALLER_KEY,
                before.map(OrganisationEntry::keyDigest),
                entry.keyDigest(),
                changes);
        compareItems(Kind.MODEL, before.map(SheetDifference::models), models(entry), changes);
        compareItems(Kind.SERVICE, before.map(SheetDifference::services), services(entry), changes);
        Optional<OrganisationLimits> limits = before.map(OrganisationEntry::limits);
        compare(
                Kind.REQUESTS_PER_SECOND,
                limits.map(OrganisationLimits::requestsPerSecond),
                entry.limits().requestsPerSecond(),
                changes);
        compare(
                Kind.CONCURRENT_STREAMS,
                limits.map(OrganisationLimits::concurrentStreams),
                entry.limits().concurrentStreams(),
                changes);
        compare(
                Kind.WEIGHT,
                limits.map(OrganisationLimits::weight),
                entry.limits().weight(),
                changes);
        return new OrganisationDifference(
                entry.organisation(),
                entry.baseVersion(),
                state.map(OrganisationState::version).orElse(0L),
                state.map(OrganisationState::office).orElse(""),
                changes);
    }

    private static <T> void compare(Kind kind, Optional<T> before, T after, List<Change> changes) {
        if (!before.equals(Optional.of(after))) {
            String beforeText = before.map(Object::toString).orElse("");
            changes.add(new Change(kind, "", beforeText, after.toString()));
        }
    }

    private static void compareItems(
            Kind kind,
            Optional<Map<String, String>> before,
            Map<String, String> after,
            List<Change> changes) {
        Map<String, String> beforeItems = before.orElse(Map.of());
        TreeSet<String> subjects = new TreeSet<>(beforeItems.keySet());
        subjects.addAll(after.keySet());
        for (String subject : subjects) {
            String beforeText = beforeItems.getOrDefault(subject, "");
            String afterText = after.getOrDefault(subject, "");
            if (!beforeText.equals(afterText)) {
                changes.add(new Change(kind, subject, beforeText, afterText));
            }
        }
    }

    private static Map<String, String> models(OrganisationEntry entry) {
        return entry.models().stream()
                .collect(
                        Collectors.toMap(
                                model -> model.key().toString(),
                                model -> idempotence(model.nonIdempotent()),
                                (first, second) -> second));
    }

    private static Map<String, String> services(OrganisationEntry entry) {
        return entry.services().stream()
                .collect(
                        Collectors.toMap(
                                service -> service.service() + service.pathPrefix(),
                                service -> idempotence(service.nonIdempotent()),
                                (first, second) -> second));
    }

    private static String idempotence(boolean nonIdempotent) {
        return nonIdempotent ? "non-idempotent" : "idempotent";
    }

    /** Returns the difference as text, with a title and one line for each change. */
    public String text() {
        if (organisations.isEmpty()) {
            return "no changes\n";
        }
        StringBuilder text = new StringBuilder();
        for (OrganisationDifference organisation : organisations) {
            text.append(title(organisation)).append('\n');
            organisation.changes().forEach(change -> text.append(line(change)).append('\n'));
        }
        return text.toString();
    }

    private static String title(OrganisationDifference organisation) {
        if (organisation.currentVersion() == 0 && !organisation.isConflict()) {
            return organisation.organisation() + ": new organisation";
        }
        String title = organisation.organisation() + ": version " + organisation.currentVersion();
        if (!organisation.isConflict()) {
            return title;
        }
        String office =
                organisation.changedBy().isEmpty() ? "" : " by office " + organisation.changedBy();
        return title + office + ", but the sheet is based on " + organisation.baseVersion();
    }

    private static String line(Change change) {
        String subject = change.subject().isEmpty() ? "" : " " + change.subject();
        String name = change.kind().label + subject;
        if (change.before().isEmpty()) {
            return "  + " + name + ": " + change.after();
        }
        if (change.after().isEmpty()) {
            return "  - " + name + ": " + change.before();
        }
        return "  ~ " + name + ": " + change.before() + " -> " + change.after();
    }
}
