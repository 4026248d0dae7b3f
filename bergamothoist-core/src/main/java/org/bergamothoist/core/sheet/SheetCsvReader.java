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

/** Reads the bytes of a sheet into rows of clean cells. */
final class SheetCsvReader {

    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /**
     * Marks that only set the direction of text. Spreadsheets add them around Arabic names, where
     * they cannot be seen but would make equal names differ.
     */
    private static final Pattern DIRECTION_MARKS =
            Pattern.compile("[\u061C\u200E\u200F\u202A-\u202E\u2066-\u2069]");

    private static final char NO_BREAK_SPACE = '\u00A0';

    private final List<SheetValidationError> faults;
    private List<Optional<SheetColumn>> columns;

    SheetCsvReader(List<SheetValidationError> faults) {
        this.faults = faults;
    }

    /** Returns the rows below the header, blank ones left out. */
    List<SheetRow> read(byte[] bytes) {
        List<SheetRow> rows = new ArrayList<>();
        if (bytes.length > SheetCsv.MAXIMUM_BYTES) {
            fileFault("is larger than " + SheetCsv.MAXIMUM_BYTES + " bytes");
            return rows;
        }
        Optional<String> text = decode(bytes);
        if (text.isEmpty()) {
            return rows;
        }
        try (CSVParser parser = CSVParser.parse(new StringReader(text.get()), format(text.get()))) {
            readRows(parser, rows);
        } catch (IOException exception) {
            fileFault(exception.getMessage());
        }
        if (columns == null && faults.isEmpty()) {
            fileFault("has no header row");
        } else if (rows.isEmpty() && faults.isEmpty()) {
            fileFault("has no rows below the header");
        }
        return rows;
    }

    private Optional<String> decode(byte[] bytes) {
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
            return Optional.of(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text);
        } catch (CharacterCodingException exception) {
            fileFault("is not UTF-8 text");
            return Optional.empty();
        }
    }

    private static CSVFormat format(String text) {
        String header = text.lines().filter(line -> !line.isBlank()).findFirst().orElse("");
        long semicolons = header.chars().filter(character -> character == ';').count();
        long commas = header.chars().filter(character -> character == ',').count();
        // Blank rows are kept, so that row numbers match those of a spreadsheet.
        return CSVFormat.RFC4180
                .builder()
                .setDelimiter(semicolons > commas ? ';' : ',')
                .setIgnoreEmptyLines(false)
                .setIgnoreSurroundingSpaces(true)
                .get();
    }

    private void readRows(CSVParser parser, List<SheetRow> rows) {
        Iterator<CSVRecord> records = parser.iterator();
        int number = 0;
        try {
            while (records.hasNext()) {
                number++;
                List<String> cells = clean(records.next());
                boolean blank = cells.stream().allMatch(String::isEmpty);
                if (!blank && columns == null) {
                    readHeader(number, cells);
                } else if (!blank && rows.size() == SheetCsv.MAXIMUM_ROWS) {
                    fileFault("has more than " + SheetCsv.MAXIMUM_ROWS + " rows");
                    return;
                } else if (!blank) {
                    rows.add(row(number, cells));
                }
                if (!blank && columns == null) {
                    return;
                }
            }
        } catch (UncheckedIOException | IllegalStateException exception) {
            faults.add(
                    new SheetValidationError(number + 1, "", "is not valid CSV; check the quotes"));
        }
    }

    private static List<String> clean(CSVRecord csvRecord) {
        return csvRecord.stream().map(SheetCsvReader::clean).toList();
    }

    private static String clean(String cell) {
        String visible = DIRECTION_MARKS.matcher(cell).replaceAll("");
        return Normalizer.normalize(visible.replace(NO_BREAK_SPACE, ' '), Normalizer.Form.NFC)
                .strip();
    }

    private void readHeader(int number, List<String> cells) {
        List<Optional<SheetColumn>> found = new ArrayList<>();
        Set<SheetColumn> missing = EnumSet.allOf(SheetColumn.class);
        int faultsBefore = faults.size();
        for (String cell : cells) {
            Optional<SheetColumn> column = SheetColumn.ofHeader(cell);
            found.add(column);
            if (column.isEmpty() && !cell.isEmpty()) {
                faults.add(new SheetValidationError(number, cell, "is not a known column"));
            } else if (column.isPresent() && !missing.remove(column.get())) {
                faults.add(new SheetValidationError(number, cell, "appears twice in the header"));
            }
        }
        for (SheetColumn column : missing) {
            faults.add(
                    new SheetValidationError(number, column.header(), "is missing in the header"));
        }
        if (faults.size() == faultsBefore) {
            columns = found;
        }
    }

    private SheetRow row(int number, List<String> cells) {
        Map<SheetColumn, String> values = new EnumMap<>(SheetColumn.class);
        for (int index = 0; index < cells.size(); index++) {
            String cell = cells.get(index);
            Optional<SheetColumn> column =
                    index < columns.size() ? columns.get(index) : Optional.empty();
            if (column.isPresent()) {
                values.put(column.get(), cell);
            } else if (!cell.isEmpty()) {
                faults.add(
                        new SheetValidationError(
                                number, "", "has a cell without a column: '" + cell + "'"));
            }
        }
        return new SheetRow(number, values, faults);
    }

    private void fileFault(String reason) {
        faults.add(new SheetValidationError(0, "", reason));
    }
}
