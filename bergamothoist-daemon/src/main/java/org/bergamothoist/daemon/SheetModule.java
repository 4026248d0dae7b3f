package org.bergamothoist.daemon;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import java.nio.charset.StandardCharsets;
import org.bergamothoist.core.sheet.ParsedSheet;
import org.bergamothoist.core.sheet.SheetCsv;
import org.bergamothoist.daemon.operator.SheetFault;
import org.bergamothoist.daemon.operator.SheetFaultsException;
import org.bergamothoist.daemon.operator.SheetParser;
import org.bergamothoist.daemon.operator.SheetPrinter;

/** Binds what reads and writes sheets; commands use it without a daemon. */
public final class SheetModule extends AbstractModule {

    @Provides
    SheetParser sheetParser() {
        return csv -> {
            ParsedSheet sheet = SheetCsv.parse(csv.getBytes(StandardCharsets.UTF_8));
            if (!sheet.isValid()) {
                throw new SheetFaultsException(
                        sheet.errors().stream()
                                .map(
                                        fault ->
                                                new SheetFault(
                                                        fault.row(),
                                                        fault.column(),
                                                        fault.reason()))
                                .toList());
            }
            return sheet.entries();
        };
    }

    @Provides
    SheetPrinter sheetPrinter() {
        return SheetCsv::write;
    }
}
