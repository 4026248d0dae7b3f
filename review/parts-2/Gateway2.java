import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway in a process of its own, started by the run line of the deploy file. */
final class Gateway2 {

    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway2::endAll));
    }

    final String name;
    private final Path directory;
    private final String host = "127.0.0.1";
    private final int[] ports = new int[5];
    private Process process;
    private int starts;
    private boolean killed;

    Gateway2(String name, String zone, Path directory, String store) throws IOException {
        this.name = name;
        this.directory = directory;
        List<ServerSocket> held = new ArrayList<>();
        for (int index = 0; index < ports.length; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
            ports[index] = socket.getLocalPort();
            held.add(socket);
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        // The settings template of the deploy file with the values of a small deployment.
        Files.writeString(
                settings(),
                "{\"daemon\":\"" + name + "\",\"data_centre\":\"" + zone
                        + "\",\"callers\":\"" + address(0)
                        + "\",\"readiness\":\"" + address(1)
                        + "\",\"directory\":\"" + address(2)
                        + "\",\"peers\":\"" + address(3)
                        + "\",\"metrics\":\"" + address(4)
                        + "\",\"seeds\":[],\"store\":\"" + store
                        + "\",\"order_lease_milliseconds\":3000,\"grace_seconds\":8"
                        + ",\"retry_share\":0.15,\"retry_slack\":52"
                        + ",\"longest_outdated_milliseconds\":15000"
                        + ",\"configuration_apply_milliseconds\":2000"
                        + ",\"drain_milliseconds\":2000"
                        + ",\"processor_share\":0.75,\"processor_cores\":1}");
    }

    private Path settings() {
        return directory.resolve(name + ".json");
    }

    private String address(int index) {
        return host + ":" + ports[index];
    }

    /** The address for clients. */
    String callers() {
        return address(0);
    }

    void start() throws IOException {
        starts++;
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        File log = directory.resolve(name + "-" + starts + ".log").toFile();
        ProcessBuilder builder =
                new ProcessBuilder(run.group(1).split(" "))
                        .redirectErrorStream(true)
                        .redirectOutput(log);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BERGAMOTHOIST_SETTINGS", settings().toAbsolutePath().toString());
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Returns whether the process has ended although the case did not end it. */
    boolean hasEndedByItself() {
        return !killed && !process.isAlive();
    }

    void kill() throws InterruptedException {
        killed = true;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) new URL("http://" + address(1) + "/readiness").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            int status = connection.getResponseCode();
            connection.disconnect();
            return status == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean awaitReady(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000L;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
            for (Process process : STARTED) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }
}
