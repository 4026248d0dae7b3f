package org.bergamothoist.daemon.operator;

import java.util.List;
import java.util.stream.Collectors;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports every fault of a sheet. */
public class SheetFaultsException extends BergamothoistException {

    private final transient List<SheetFault> faults;

    public SheetFaultsException(List<SheetFault> faults) {
        super(
                ErrorCode.INVALID_SHEET,
                faults.stream().map(SheetFault::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults in the order of the sheet. */
    public List<SheetFault> faults() {
        return faults;
    }
}
