package org.bergamothoist.core.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** Client of the platform's list of VMs, which is eventually consistent. */
@FunctionalInterface
public interface VirtualMachineList {

    /** Returns the list; fails with {@link PlatformException}. */
    CompletionStage<List<VirtualMachine>> read();
}
