import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three different requests each crash the server that runs them. They share the first part of their
 * prompts with harmless requests. Then all daemons are killed, and start again.
 */
public final class CommonPart {

    private static final int HARMLESS = 40;
    private static final String COMMON = "5c1e07a2:800";
    private static final String OTHER = "77aa0011:800";

    private final Harness harness;
    private final Store store;
    private final List<Engine> engines = new CopyOnWriteArrayList<>();
    private final AtomicInteger started = new AtomicInteger();
    private List<Gateway> gateways;

    private CommonPart(Harness harness, Store store) {
        this.harness = harness;
        this.store = store;
    }

    public static void main(String[] arguments) throws Exception {
        Harness.main(
                arguments,
                harness -> new CommonPart(harness, harness.keep(new Store())).run());
    }

    private int run() throws Exception {
        for (int index = 0; index < 5; index++) {
            startEngine();
        }
        store.put(
                "keyed.op",
                "config",
                Texts.configuration(
                        1,
                        Texts.route("r1", "/draft/", "streaming", "llm", Texts.STREAM),
                        Texts.engineService("llm", "[{\"name\":\"base\"}]"),
                        Texts.tenant("clinic", "key-clinic", false)));
        gateways = harness.gateways(3, store);

        int servedBefore = send("a", COMMON, HARMLESS, 50);
        harness.log("before: %d of %d requests with the common part served", servedBefore, HARMLESS);
        // Requests with other parts go on for 12 s.
        int servedOthers = send("o", OTHER, 120, 100);
        harness.log("meanwhile: %d of 120 requests with other parts served", servedOthers);
        int crashes = 3;
        for (int index = 0; index < crashes; index++) {
            if (harness.trouble) {
                sendOne("/draft/crash" + index, "c" + index, COMMON, index);
            }
            // Each server is back before the next one ends.
            Thread.sleep(4_000);
        }
        Thread.sleep(2_000);
        harness.log("final fault: all daemons are killed");
        for (Gateway gateway : gateways) {
            gateway.kill();
            gateway.awaitEnd(2_000);
        }
        Thread.sleep(1_000);
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
            harness.log("%s is ready again", gateway.name);
        }
        // The bound is recovery_s, 12 s.
        Thread.sleep(13_000);
        int servedAfter = send("b", COMMON, HARMLESS, 100);
        harness.log("served: before %d of %d, after %d of %d", servedBefore, HARMLESS, servedAfter, HARMLESS);
        if (servedBefore < HARMLESS / 4 || servedOthers < 30) {
            return Harness.COULD_NOT_RUN;
        }
        return servedAfter < HARMLESS / 4 ? Harness.BROKEN : Harness.HELD;
    }

    private void startEngine() throws Exception {
        String id = String.format("i-7f3a91%02d", started.incrementAndGet());
        Engine engine =
                harness.keep(
                        new Engine(harness, store, id, "llm", "zone-a", List.of("base"), 3, 20));
        engine.crashOn("/draft/crash", () -> replace(engine));
        engines.add(engine);
    }

    /** The server is back after 2 s under another id; its old entry goes after 3.6 s of silence. */
    private void replace(Engine crashed) {
        engines.remove(crashed);
        Harness.daemon(
                () -> {
                    try {
                        Thread.sleep(2_000);
                        startEngine();
                        Thread.sleep(1_600);
                        store.put("keyed.servers", crashed.id(), null);
                    } catch (Exception exception) {
                        harness.log("not started again: %s", exception);
                    }
                });
    }

    private int send(String prefix, String firstPart, int count, int pauseMilliseconds)
            throws Exception {
        List<Boolean> served = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            served.add(sendOne("/draft/" + prefix + index, prefix + index, firstPart, index));
            Thread.sleep(pauseMilliseconds);
        }
        return (int) served.stream().filter(one -> one).count();
    }

    private boolean sendOne(String path, String id, String firstPart, int index) {
        String result;
        try {
            String parts = String.format("%s,e4402b%04x:250", firstPart, id.hashCode() & 0xffff);
            Client.Answer answer =
                    Client.call(
                            gateways.get(index % gateways.size()).callersPort(),
                            Texts.stream(path, id, "key-clinic", "base", parts),
                            6_000);
            result = answer.status() + (answer.status() == 200 ? "" : " " + new String(answer.body()));
        } catch (Exception exception) {
            result = String.valueOf(exception);
        }
        harness.log("%s -> %s", id, result);
        return result.startsWith("200");
    }
}
