package org.bergamothoist.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads the platform's list of VMs, which lags behind the truth. */
@FunctionalInterface
public interface VirtualMachineList {

    /** Returns the list; fails with {@link PlatformException}. */
    CompletionStage<List<VirtualMachine>> read();
}
