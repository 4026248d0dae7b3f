package org.bergamothoist.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bergamothoist.core.error.ErrorCode;

/** Reads sheets from files. */
final class SheetFiles {

    private SheetFiles() {}

    /** Returns the text of a file; fails with {@link CommandException}. */
    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new CommandException(
                    ErrorCode.INVALID_SHEET, "sheet " + file + " cannot be read", exception);
        }
    }
}
