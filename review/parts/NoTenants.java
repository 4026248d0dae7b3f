package parts;

import static parts.Parts.*;

import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** The last tenant is removed; requests with unknown keys and with the removed key follow. */
final class NoTenants {
    private static final Map<String, String> ran = new ConcurrentHashMap<>();

    private NoTenants() {}

    public static void main(String[] arguments) {
        run(arguments[0], NoTenants::play);
    }

    private static String config(int version, String tenants) {
        return plainConfig(version, ",\"tenants\":[" + tenants + "]").replace("\"public\":true", "\"public\":false");
    }

    private static void send(Gateway gateway, String key, List<String> broken, boolean mayRun) throws Exception {
        String id = newId();
        try (Socket socket = new Socket("127.0.0.1", gateway.callers)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request("POST", "a.example", "/order/x", id, "X-Deadline-Ms: 1500\r\nX-Api-Key: " + key + "\r\n", new byte[600]));
            Answer answer = readAnswer(socket.getInputStream());
            note(id + " with key " + key + " answered " + answer.status() + (ran.containsKey(id) ? ", ran, X-Tenant-Id: " + ran.get(id) : ", did not run"));
            if (ran.containsKey(id) && !mayRun) {
                broken.add("ROUTE: " + id + " ran with the key " + key + ", which no configuration holds or ever held");
            }
        }
    }

    private static List<String> play() throws Exception {
        Path folder = Files.createTempDirectory("review");
        Store store = open(new Store());
        String tenant = "{\"name\":\"kunz\",\"api_keys\":[\"key-of-kunz\"],\"priority\":1,\"isolated\":false}";
        store.put("keyed.op", "config", config(1, tenant));
        open(new Server(store, "app", "i-0", (request, socket) -> {
            ran.put(request.id(), request.headers().getOrDefault("x-tenant-id", "(none)"));
            respond(socket, 200, "X-Response-Signature: s\r\n", new byte[800], request);
            return true;
        }).register());
        Gateway gateway = open(new Gateway("edge-0", store, folder));
        gateway.start();
        gateway.awaitReady();
        List<String> broken = new ArrayList<>();
        send(gateway, "key-of-kunz", broken, true);
        send(gateway, "never-a-key", broken, false);
        if (TROUBLE) {
            store.put("keyed.op", "config", config(2, ""));
            note("version 2 without the tenant is acknowledged");
        }
        Thread.sleep(5_000);
        for (int count = 0; count < 5; count++) {
            send(gateway, "never-a-key", broken, false);
            send(gateway, "key-of-kunz", broken, true);
        }
        return broken;
    }
}
