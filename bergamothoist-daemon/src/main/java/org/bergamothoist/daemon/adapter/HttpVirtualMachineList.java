package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.platform.VirtualMachineList;

/** Reads the platform's list of VMs over HTTP. */
public final class HttpVirtualMachineList implements VirtualMachineList {

    private final OutboundHttp http;
    private final URI base;

    /** Creates a client of the list below the base URL. */
    public HttpVirtualMachineList(OutboundHttp http, URI base) {
        this.http = http;
        this.base = base;
    }

    @Override
    public CompletionStage<List<VirtualMachine>> read() {
        return http.control(new BasicHttpRequest("GET", base.resolve("/vms")), null, null)
                .thenApply(
                        answer ->
                                answer.require(HttpStatus.SC_OK)
                                        .read(HttpVirtualMachineList::list));
    }

    private static List<VirtualMachine> list(JsonNode body) {
        List<VirtualMachine> machines = new ArrayList<>();
        for (JsonNode machine : PlatformJson.array(body, "vms")) {
            machines.add(
                    new VirtualMachine(
                            PlatformJson.text(machine, "name"),
                            VirtualMachine.Role.valueOf(constant(machine, "role")),
                            PlatformJson.text(machine, "group"),
                            PlatformJson.text(machine, "host"),
                            PlatformJson.integer(machine, "port"),
                            PlatformJson.text(machine, "data_centre"),
                            VirtualMachine.State.valueOf(constant(machine, "state"))));
        }
        return machines;
    }

    private static String constant(JsonNode machine, String field) {
        return PlatformJson.text(machine, field).toUpperCase(Locale.ROOT);
    }
}
