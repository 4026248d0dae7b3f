package org.bergamothoist.core.sheet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Reads and writes sheets as CSV, the form that planners export. A sheet has a header row and one
 * row for each entitlement; the columns that concern the whole organisation are repeated in each of
 * its rows. An organisation without entitlements has one row whose entitlement columns are blank.
 */
public final class SheetCsv {

    /** Largest sheet accepted, in bytes. */
    public static final int MAXIMUM_BYTES = 8 * 1024 * 1024;

    /** Most rows accepted below the header. */
    public static final int MAXIMUM_ROWS = 100_000;

    private SheetCsv() {}

    /** The rows of one organisation. */
    private static final class Group {
        private final SheetRow first;
        private final List<ModelEntitlement> models = new ArrayList<>();
        private final List<ServiceEntitlement> services = new ArrayList<>();
        private int rows;

        Group(SheetRow first) {
            this.first = first;
        }
    }

    /**
     * Parses a sheet and collects all its faults.
     *
     * @param bytes UTF-8 text with or without a byte order mark, separated by commas or semicolons
     */
    public static ParsedSheet parse(byte[] bytes) {
        List<SheetValidationError> faults = new ArrayList<>();
        Map<OrganisationId, Group> groups = new TreeMap<>();
        for (SheetRow row : new SheetCsvReader(faults).read(bytes)) {
            row.organisation().ifPresent(organisation -> add(organisation, row, groups));
        }
        Map<String, OrganisationId> keys = new HashMap<>();
        List<OrganisationEntry> entries = new ArrayList<>();
        groups.forEach(
                (organisation, group) -> entry(organisation, group, keys).ifPresent(entries::add));
        if (faults.isEmpty()) {
            return new ParsedSheet(entries, faults);
        }
        faults.sort(Comparator.comparingInt(SheetValidationError::row));
        return new ParsedSheet(List.of(), faults);
    }

    private static void add(
            OrganisationId organisation, SheetRow row, Map<OrganisationId, Group> groups) {
        Group group = groups.computeIfAbsent(organisation, key -> new Group(row));
        group.rows++;
        if (group.first != row) {
            requireSame(group.first, row, SheetColumn.BASE_VERSION);
            requireSame(group.first, row, SheetColumn.KEY_DIGEST);
            requireSame(group.first, row, SheetColumn.REQUESTS_PER_SECOND);
            requireSame(group.first, row, SheetColumn.CONCURRENT_STREAMS);
            requireSame(group.first, row, SheetColumn.WEIGHT);
        }
        boolean empty = row.hasNoEntitlement();
        if (empty && group.first == row) {
            return;
        }
        if (!empty && group.rows > 1 && group.first.hasNoEntitlement()) {
            group.first.fault(SheetColumn.KIND, "is blank although other rows have entitlements");
        }
        row.readEntitlement(group.models, group.services);
    }

    private static void requireSame(SheetRow first, SheetRow row, SheetColumn column) {
        if (!first.text(column).equalsIgnoreCase(row.text(column))) {
            row.fault(column, "differs from row " + first.number() + " of the same organisation");
        }
    }

    private static Optional<OrganisationEntry> entry(
            OrganisationId organisation, Group group, Map<String, OrganisationId> keys) {
        SheetRow row = group.first;
        Optional<Long> baseVersion = row.baseVersion();
        Optional<String> keyDigest = row.keyDigest();
        Optional<OrganisationLimits> limits = row.limits();
        OrganisationId sameKey = keyDigest.map(key -> keys.put(key, organisation)).orElse(null);
        if (sameKey != null) {
            row.fault(SheetColumn.KEY_DIGEST, "is also the key of " + sameKey);
        }
        if (baseVersion.isEmpty() || keyDigest.isEmpty() || limits.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new OrganisationEntry(
                        organisation,
                        baseVersion.get(),
                        keyDigest.get(),
                        group.models,
                        group.services,
                        limits.get()));
    }

    /** Writes organisations as a sheet whose base versions are their current versions. */
    public static String write(List<OrganisationState> organisations) {
        StringBuilder text = new StringBuilder();
        try (CSVPrinter printer = new CSVPrinter(text, CSVFormat.RFC4180)) {
            for (SheetColumn column : SheetColumn.values()) {
                printer.print(column.header());
            }
            printer.println();
            for (OrganisationState organisation : organisations) {
                write(printer, organisation);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return text.toString();
    }

    private static void write(CSVPrinter printer, OrganisationState state) throws IOException {
        OrganisationEntry entry = state.entry();
        for (ModelEntitlement model : entry.models()) {
            String[] cells = {
                "model",
                model.key().model(),
                model.key().adapter(),
                model.key().version(),
                "",
                "",
                yesOrNo(model.nonIdempotent())
            };
            writeRow(printer, state, cells);
        }
        for (ServiceEntitlement service : entry.services()) {
            String[] cells = {
                "service",
                "",
                "",
                "",
                service.service(),
                service.pathPrefix(),
                yesOrNo(service.nonIdempotent())
            };
            writeRow(printer, state, cells);
        }
        if (entry.models().isEmpty() && entry.services().isEmpty()) {
            writeRow(printer, state, new String[] {"", "", "", "", "", "", ""});
        }
    }

    private static void writeRow(CSVPrinter printer, OrganisationState state, String[] cells)
            throws IOException {
        OrganisationEntry entry = state.entry();
        printer.print(entry.organisation().value());
        printer.print(state.version());
        printer.print(entry.keyDigest());
        for (String cell : cells) {
            printer.print(cell);
        }
        printer.print(entry.limits().requestsPerSecond());
        printer.print(entry.limits().concurrentStreams());
        printer.print(entry.limits().weight());
        printer.println();
    }

    private static String yesOrNo(boolean value) {
        return value ? "yes" : "no";
    }
}
