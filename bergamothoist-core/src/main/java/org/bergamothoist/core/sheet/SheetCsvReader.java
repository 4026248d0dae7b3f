package org.bergamothoist.core.sheet;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.text.Normalizer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/** Decodes a CSV sheet into rows with normalised cells and checks its header. */
final class SheetCsvReader {

    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /**
     * Invisible marks that set the direction of text. Spreadsheets add them around Arabic names,
     * where they would make equal names differ.
     */
    private static final Pattern DIRECTION_MARKS =
            Pattern.compile("[\u061C\u200E\u200F\u202A-\u202E\u2066-\u2069]");

    private static final char NO_BREAK_SPACE = '\u00A0';

    private final List<SheetValidationError> errors;
    private List<Optional<SheetColumn>> columns;

    SheetCsvReader(List<SheetValidationError> errors) {
        this.errors = errors;
    }

    /** Returns the rows below the header except blank ones. */
    List<SheetRow> read(byte[] bytes) {
        List<SheetRow> rows = new ArrayList<>();
        if (bytes.length > SheetCsv.MAXIMUM_BYTES) {
            addFileError("is larger than " + SheetCsv.MAXIMUM_BYTES + " bytes");
            return rows;
        }
        Optional<String> text = decode(bytes);
        if (text.isEmpty()) {
            return rows;
        }
        try (CSVParser parser = CSVParser.parse(new StringReader(text.get()), format(text.get()))) {
            readRows(parser, rows);
        } catch (IOException exception) {
            addFileError(exception.getMessage());
        }
        if (columns == null && errors.isEmpty()) {
            addFileError("has no header row");
        } else if (rows.isEmpty() && errors.isEmpty()) {
            addFileError("has no rows below the header");
        }
        return rows;
    }

    private Optional<String> decode(byte[] bytes) {
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
            return Optional.of(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text);
        } catch (CharacterCodingException exception) {
            addFileError("is not UTF-8 text");
            return Optional.empty();
        }
    }

    private static CSVFormat format(String text) {
        String header = text.lines().filter(line -> !line.isBlank()).findFirst().orElse("");
        long semicolons = header.chars().filter(character -> character == ';').count();
        long commas = header.chars().filter(character -> character == ',').count();
        // Blank rows are not skipped, so that row numbers match those of the spreadsheet.
        return CSVFormat.RFC4180
                .builder()
                .setDelimiter(semicolons > commas ? ';' : ',')
                .setIgnoreEmptyLines(false)
                .setIgnoreSurroundingSpaces(true)
                .get();
    }

    private void readRows(CSVParser parser, List<SheetRow> rows) {
        Iterator<CSVRecord> records = parser.iterator();
        int rowNumber = 0;
        try {
            while (records.hasNext()) {
                rowNumber++;
                List<String> cells = normalise(records.next());
                boolean blank = cells.stream().allMatch(String::isEmpty);
                if (!blank && columns == null) {
                    readHeader(rowNumber, cells);
                } else if (!blank && rows.size() == SheetCsv.MAXIMUM_ROWS) {
                    addFileError("has more than " + SheetCsv.MAXIMUM_ROWS + " rows");
                    return;
                } else if (!blank) {
                    rows.add(row(rowNumber, cells));
                }
                if (!blank && columns == null) {
                    return;
                }
            }
        } catch (UncheckedIOException | IllegalStateException exception) {
            errors.add(
                    new SheetValidationError(
                            rowNumber + 1, "", "is not valid CSV; check the quotes"));
        }
    }

    private static List<String> normalise(CSVRecord csvRecord) {
        return csvRecord.stream().map(SheetCsvReader::normalise).toList();
    }

    private static String normalise(String cell) {
        String withoutMarks = DIRECTION_MARKS.matcher(cell).replaceAll("");
        return Normalizer.normalize(withoutMarks.replace(NO_BREAK_SPACE, ' '), Normalizer.Form.NFC)
                .strip();
    }

    private void readHeader(int rowNumber, List<String> cells) {
        List<Optional<SheetColumn>> headerColumns = new ArrayList<>();
        Set<SheetColumn> missing = EnumSet.allOf(SheetColumn.class);
        int errorsBefore = errors.size();
        for (String cell : cells) {
            Optional<SheetColumn> column = SheetColumn.ofHeader(cell);
            headerColumns.add(column);
            if (column.isEmpty() && !cell.isEmpty()) {
                errors.add(new SheetValidationError(rowNumber, cell, "is not a known column"));
            } else if (column.isPresent() && !missing.remove(column.get())) {
                errors.add(
                        new SheetValidationError(rowNumber, cell, "appears twice in the header"));
            }
        }
        for (SheetColumn column : missing) {
            errors.add(
                    new SheetValidationError(
                            rowNumber, column.header(), "is missing in the header"));
        }
        if (errors.size() == errorsBefore) {
            columns = headerColumns;
        }
    }

    private SheetRow row(int rowNumber, List<String> cells) {
        Map<SheetColumn, String> values = new EnumMap<>(SheetColumn.class);
        for (int index = 0; index < cells.size(); index++) {
            String cell = cells.get(index);
            Optional<SheetColumn> column =
                    index < columns.size() ? columns.get(index) : Optional.empty();
            if (column.isPresent()) {
                values.put(column.get(), cell);
            } else if (!cell.isEmpty()) {
                errors.add(
                        new SheetValidationError(
                                rowNumber, "", "has a cell without a column: '" + cell + "'"));
            }
        }
        return new SheetRow(rowNumber, values, errors);
    }

    private void addFileError(String reason) {
        errors.add(new SheetValidationError(0, "", reason));
    }
}
