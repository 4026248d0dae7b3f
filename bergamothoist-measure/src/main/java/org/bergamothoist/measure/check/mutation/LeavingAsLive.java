package org.bergamothoist.measure.check.mutation;

import java.util.List;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.measure.check.Interposition;

/** Shows leaving targets as live. */
final class LeavingAsLive implements Interposition {

    @Override
    public VirtualMachineList machines(NodeSettings node, VirtualMachineList list) {
        return () -> list.read().thenApply(LeavingAsLive::allLive);
    }

    private static List<VirtualMachine> allLive(List<VirtualMachine> machines) {
        return machines.stream()
                .map(
                        machine ->
                                new VirtualMachine(
                                        machine.name(),
                                        machine.role(),
                                        machine.group(),
                                        machine.host(),
                                        machine.port(),
                                        machine.dataCentre(),
                                        VirtualMachine.State.LIVE))
                .toList();
    }
}
