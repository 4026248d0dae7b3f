package org.bergamothoist.core.sheet;

/**
 * A fault of a sheet.
 *
 * @param row number of the row, counted from 1 with the header; 0 for the file as a whole
 * @param column name of the column; empty for the row as a whole
 */
public record SheetValidationError(int row, String column, String reason) {

    @Override
    public String toString() {
        String place = row == 0 ? "file" : "row " + row;
        return column.isEmpty()
                ? place + ": " + reason
                : place + ", column " + column + ": " + reason;
    }
}
