import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started as the deploy file says, with settings made from its template. */
final class Gateway implements AutoCloseable {

    /** Ports of daemons that may be down for a while. */
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    final String name;
    private final Path root;
    private final Path directory;
    private final Map<String, String> fields = new LinkedHashMap<>();
    private final String callers;
    private final String readiness;
    private Process process;
    private int starts;

    Gateway(Path root, Path directory, String name, String zone, Store store) {
        this.root = root;
        this.directory = directory;
        this.name = name;
        List<Integer> ports = freePorts(5);
        callers = "127.0.0.1:" + ports.get(0);
        readiness = "127.0.0.1:" + ports.get(1);
        fields.put("{{node_name|json}}", quote(name));
        fields.put("{{zone|json}}", quote(zone));
        fields.put("{{listen.frontend|json}}", quote(callers));
        fields.put("{{listen.readiness|json}}", quote(readiness));
        fields.put("{{listen.directory|json}}", quote("127.0.0.1:" + ports.get(2)));
        fields.put("{{ip}}", "127.0.0.1");
        fields.put("{{internal_ports.0}}", String.valueOf(ports.get(3)));
        fields.put("{{internal_ports.1}}", String.valueOf(ports.get(4)));
        fields.put("{{platform.address|json}}", quote(store.address()));
        fields.put("{{bounds.lease_ms}}", "3000");
        fields.put("{{bounds.grace_s}}", "8");
        fields.put("{{bounds.budget_slack}}", "52");
        fields.put("{{bounds.version_ms}}", "15000");
        fields.put("{{bounds.config_apply_ms}}", "2000");
        fields.put("{{bounds.drain_ms}}", "2000");
        fields.put("{{limits.cpu_share}}", "0.75");
        fields.put("{{limits.cores}}", "1");
    }

    private static String quote(String text) {
        return "\"" + text + "\"";
    }

    /** Returns free ports below those that the operating system gives to outgoing connections. */
    private static List<Integer> freePorts(int count) {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (TAKEN.add(socket.getLocalPort())) {
                    ports.add(port);
                }
            } catch (IOException exception) {
                // in use; another one is tried
            }
        }
        return ports;
    }

    String callers() {
        return callers;
    }

    int callersPort() {
        return Integer.parseInt(callers.substring(callers.indexOf(':') + 1));
    }

    int readinessPort() {
        return Integer.parseInt(readiness.substring(readiness.indexOf(':') + 1));
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void start() throws IOException {
        starts++;
        String settings =
                Files.readString(root.resolve("deploy/gateway.json"))
                        // Sections of bounds that this deployment does not have.
                        .replaceAll("(?s)\\{\\{#.*?\\{\\{/[^}]*}}", "");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            settings = settings.replace(field.getKey(), field.getValue());
        }
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, settings);
        Matcher run =
                Pattern.compile("(?m)^run = \"([^\"]*)\"")
                        .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder builder =
                new ProcessBuilder(run.group(1).split(" "))
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(new File(directory.toFile(), name + "-" + starts + ".log"));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("BERGAMOTHOIST_SETTINGS", file.toString());
        process = builder.start();
    }

    /** Waits until the check of readiness answers 200; fails after 20 s. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(name + " does not get ready");
    }

    boolean isReady() {
        try {
            return Client.call(readinessPort(), "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n", 1_000)
                            .status()
                    == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    boolean awaitEnd(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
