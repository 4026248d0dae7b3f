package org.bergamothoist.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.standin.PlatformStandIn;

/** Writes settings files of daemons that use stand-ins, after the deployment's example file. */
public final class ExampleSettings {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PORTS = 3;

    private final PlatformStandIn platform;
    private final ExampleDeployment example;

    /** Creates a writer. */
    public ExampleSettings(PlatformStandIn platform, ExampleDeployment example) {
        this.platform = platform;
        this.example = example;
    }

    /**
     * Writes {@code entry-1.json} and so on with free ports, and puts the daemons' VMs on the list.
     *
     * @return the files
     */
    public List<Path> write(Path directory, int daemons) throws IOException {
        Files.createDirectories(directory);
        List<Path> files = new ArrayList<>();
        for (int index = 0; index < daemons; index++) {
            String name = "entry-" + (index + 1);
            String dataCentre = example.sizes().dataCentre(index);
            int[] ports = freePorts();
            platform.registerDaemon(name + "-vm", ports[2], dataCentre);
            Path file = directory.resolve(name + ".json");
            MAPPER.writerWithDefaultPrettyPrinter()
                    .writeValue(file.toFile(), settings(name, dataCentre, ports));
            files.add(file);
        }
        return files;
    }

    private ObjectNode settings(String name, String dataCentre, int[] ports) throws IOException {
        ObjectNode settings =
                (ObjectNode) MAPPER.readTree(ExampleDeployment.settingsFile(example.sizes()));
        settings.put("daemon", name);
        settings.put("virtual_machine", name + "-vm");
        settings.put("data_centre", dataCentre);
        address(settings.putObject("caller_address"), ports[0]);
        address(settings.putObject("admin_address"), ports[1]);
        address(settings.putObject("peer_address"), ports[2]);
        settings.putObject("platform")
                .put("log", url(platform.log().port()))
                .put("virtual_machine_list", url(platform.machines().port()))
                .put("weight_store", url(platform.weightStore().port()))
                .put("cache_store", url(platform.cacheStore().port()));
        settings.putObject("deployment_key").put("value", LocalDeployment.EXAMPLE_KEY);
        settings.put("block_tokens", ExampleDeployment.BLOCK_TOKENS);
        return settings;
    }

    private static void address(ObjectNode node, int port) {
        node.put("host", PlatformStandIn.HOST).put("port", port);
    }

    private static String url(int port) {
        return "http://" + PlatformStandIn.HOST + ":" + port;
    }

    /** Holds all ports open until the last is known, so that they differ. */
    private static int[] freePorts() throws IOException {
        int[] ports = new int[PORTS];
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < PORTS; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(PlatformStandIn.HOST)));
                ports[index] = sockets.get(index).getLocalPort();
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return ports;
    }
}
