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
 * Parses and writes sheets as CSV, the format that planners export from their spreadsheets. A sheet
 * has a header row and one row for each entitlement; the columns that concern the whole
 * organisation are repeated in each of its rows. An organisation without entitlements has one row
 * whose entitlement columns are blank.
 */
public final class SheetCsv {

    /** Maximum size of a sheet in bytes. */
    public static final int MAXIMUM_BYTES = 8 * 1024 * 1024;

    /** Maximum number of rows below the header. */
    public static final int MAXIMUM_ROWS = 100_000;

    private SheetCsv() {}

    /** The rows of one organisation. */
    private static final class OrganisationRows {
        private final SheetRow firstRow;
        private final List<ModelEntitlement> models = new ArrayList<>();
        private final List<ServiceEntitlement> services = new ArrayList<>();
        private int rowCount;

        OrganisationRows(SheetRow firstRow) {
            this.firstRow = firstRow;
        }
    }

    /**
     * Parses a sheet. The result has either all entries or all validation errors.
     *
     * @param bytes UTF-8 text with or without a byte order mark, separated by commas or semicolons
     */
    public static ParsedSheet parse(byte[] bytes) {
        List<SheetValidationError> errors = new ArrayList<>();
        Map<OrganisationId, OrganisationRows> groups = new TreeMap<>();
        for (SheetRow row : new SheetCsvReader(errors).read(bytes)) {
            row.organisation().ifPresent(organisation -> addRow(organisation, row, groups));
        }
        Map<String, OrganisationId> organisationsByKey = new HashMap<>();
        List<OrganisationEntry> entries = new ArrayList<>();
        groups.forEach(
                (organisation, group) ->
                        toEntry(organisation, group, organisationsByKey).ifPresent(entries::add));
        if (errors.isEmpty()) {
            return new ParsedSheet(entries, errors);
        }
        errors.sort(Comparator.comparingInt(SheetValidationError::row));
        return new ParsedSheet(List.of(), errors);
    }

    private static void addRow(
            OrganisationId organisation,
            SheetRow row,
            Map<OrganisationId, OrganisationRows> groups) {
        OrganisationRows group =
                groups.computeIfAbsent(organisation, key -> new OrganisationRows(row));
        group.rowCount++;
        if (group.firstRow != row) {
            requireSame(group.firstRow, row, SheetColumn.BASE_VERSION);
            requireSame(group.firstRow, row, SheetColumn.KEY_DIGEST);
            requireSame(group.firstRow, row, SheetColumn.REQUESTS_PER_SECOND);
            requireSame(group.firstRow, row, SheetColumn.CONCURRENT_STREAMS);
            requireSame(group.firstRow, row, SheetColumn.WEIGHT);
        }
        boolean blank = row.hasNoEntitlement();
        if (blank && group.firstRow == row) {
            return;
        }
        if (!blank && group.rowCount > 1 && group.firstRow.hasNoEntitlement()) {
            group.firstRow.addError(
                    SheetColumn.KIND, "is blank although other rows have entitlements");
        }
        row.readEntitlement(group.models, group.services);
    }

    private static void requireSame(SheetRow first, SheetRow row, SheetColumn column) {
        if (!first.text(column).equalsIgnoreCase(row.text(column))) {
            row.addError(
                    column, "differs from row " + first.rowNumber() + " of the same organisation");
        }
    }

    private static Optional<OrganisationEntry> toEntry(
            OrganisationId organisation,
            OrganisationRows group,
            Map<String, OrganisationId> organisationsByKey) {
        SheetRow row = group.firstRow;
        Optional<Long> baseVersion = row.baseVersion();
        Optional<String> keyDigest = row.keyDigest();
        Optional<OrganisationLimits> limits = row.limits();
        OrganisationId otherOwner =
                keyDigest.map(key -> organisationsByKey.put(key, organisation)).orElse(null);
        if (otherOwner != null) {
            row.addError(SheetColumn.KEY_DIGEST, "is also the key of " + otherOwner);
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

    /** Writes organisations as a CSV sheet that is based on their current versions. */
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
