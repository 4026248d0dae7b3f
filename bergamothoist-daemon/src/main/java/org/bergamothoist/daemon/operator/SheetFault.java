package org.bergamothoist.daemon.operator;

/**
 * Something wrong with a sheet.
 *
 * @param row line of the file, from 1 on, the header included
 * @param column name of the column, empty if the whole row is meant
 * @param reason what is wrong
 */
public record SheetFault(int row, String column, String reason) {

    @Override
    public String toString() {
        return "row " + row + (column.isEmpty() ? "" : ", column " + column) + ": " + reason;
    }
}
