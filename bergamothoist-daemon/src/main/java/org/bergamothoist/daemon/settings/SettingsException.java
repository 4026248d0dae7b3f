package org.bergamothoist.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports every fault of a settings file. */
public class SettingsException extends BergamothoistException {

    private final transient List<SettingsFault> faults;

    public SettingsException(List<SettingsFault> faults) {
        super(
                ErrorCode.INVALID_SETTINGS,
                faults.stream().map(SettingsFault::toString).collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /** Returns the faults in the order of the settings. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
