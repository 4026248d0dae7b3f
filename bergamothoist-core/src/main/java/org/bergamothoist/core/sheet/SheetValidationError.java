package org.bergamothoist.core.sheet;

/**
 * A validation error in a sheet.
 *
 * @param row row number, where the header is row 1; 0 if the error concerns the whole file
 * @param column name of the column; empty if the error concerns the whole row
 * @param reason what is wrong, phrased so that it can follow the position
 */
public record SheetValidationError(int row, String column, String reason) {

    @Override
    public String toString() {
        String position = row == 0 ? "file" : "row " + row;
        return column.isEmpty()
                ? position + ": " + reason
                : position + ", column " + column + ": " + reason;
    }
}
