import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** What the cases share: the record, the store, gateways, and the words of the platform. */
final class Case2 implements AutoCloseable {

    static final String HOST = "jepu9.example";

    /** False if the same is played without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Store2 store;
    final List<Gateway2> gateways = new ArrayList<>();
    private final Path work;
    private final PrintWriter record;
    private final long start = System.nanoTime();
    private final AtomicLong requests = new AtomicLong();

    Case2(Path folder, Path work) throws IOException {
        this.work = work;
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        this.store = new Store2();
        say("trouble " + TROUBLE);
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    void say(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%7d ", now()) + line);
        }
    }

    String nextId() {
        return String.format(Locale.ROOT, "9c41d07b%08x", requests.incrementAndGet());
    }

    long requests() {
        return requests.get();
    }

    /** Writes the configuration to the store, whose answer is the acknowledgement. */
    void configure(int version, String routes, String services, int headerBytes) {
        store.put(
                "keyed.op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                        + "],\"limits\":{\"max_header_bytes\":" + headerBytes
                        + ",\"max_body_bytes\":4194304,\"header_timeout_ms\":3000"
                        + ",\"idle_timeout_ms\":15000}}");
        say("operator: config " + version + " acknowledged, max_header_bytes " + headerBytes);
    }

    static String plainRoute(String name, String type, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name
                + "/\",\"type\":\"" + type
                + "\",\"timeout_ms\":1500,\"target_latency_ms\":193,\"priority\":2,\"service\":\""
                + service
                + "\",\"attempts\":" + (type.equals("safe") ? 2 : 1) + ",\"public\":true,\"sticky\":false}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name
                + "\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** What a plain server writes to the store of itself. */
    static String entry(
            String service, String address, String state, long sequence, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"biel-a\",\"version\":\"v1\",\"batch_slots\":6,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    /** Starts the gateways; ends the case with 2 if one of them isn't ready. */
    void startGateways(int count) throws Exception {
        String[] zones = {"biel-a", "bern-b", "neuchatel-c", "solothurn-d"};
        for (int index = 0; index < count; index++) {
            Gateway2 gateway =
                    new Gateway2("edge-" + (index + 1), zones[index % 4], work, store.address());
            gateway.start();
            gateways.add(gateway);
        }
        for (Gateway2 gateway : gateways) {
            if (!gateway.awaitReady(15_000)) {
                say("not ready: " + gateway.name);
                finish(2);
            }
            say("ready: " + gateway.name + " at " + gateway.callers());
        }
    }

    /** Ends all processes and the case: 0 if the rule held, 1 if not, 2 if it couldn't run. */
    void finish(int code) {
        for (Gateway2 gateway : gateways) {
            if (code != 2 && gateway.hasEndedByItself()) {
                say(gateway.name + " ended by itself with " + gateway.exitCode());
            }
        }
        say(code == 0 ? "rule held" : code == 1 ? "RULE BROKEN" : "could not run");
        close();
        Runtime.getRuntime().exit(code);
    }

    @Override
    public void close() {
        Gateway2.endAll();
        store.close();
        synchronized (record) {
            record.flush();
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
