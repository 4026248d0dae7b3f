import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers hold two models. New weights of one of them are named; once they are in place everywhere,
 * a configuration adds the route of the other one.
 */
public final class TwoModels {

    private static final int BASE_INTERVAL_MILLISECONDS = 12;
    private static final int LARGE_INTERVAL_MILLISECONDS = 400;

    private final Harness harness;
    private final List<Gateway> gateways;
    private final ScheduledExecutorService clients = Executors.newScheduledThreadPool(64);
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicBoolean counted = new AtomicBoolean();

    private TwoModels(Harness harness, List<Gateway> gateways) {
        this.harness = harness;
        this.gateways = gateways;
    }

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments, TwoModels::run);
    }

    /** The requests of one route in the time that counts. */
    private static final class Tally {

        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        private double share() {
            return (double) served.get() / Math.max(1, sent.get());
        }
    }

    private static int run(Harness harness) throws Exception {
        Store store = harness.keep(new Store());
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            engines.add(
                    harness.keep(
                            new Engine(
                                    harness, store, "i-7f3a91c" + index, "llm",
                                    "zone-" + (char) ('a' + index % 3),
                                    List.of("base", "large"), 6, 60)));
        }
        String services = Texts.engineService("llm", "[{\"name\":\"base\"},{\"name\":\"large\"}]");
        String tenants = Texts.tenant("clinic", "key-clinic", false);
        String baseRoute = Texts.route("r1", "/base/", "streaming", "llm", Texts.STREAM);
        String largeRoute = Texts.route("r2", "/large/", "streaming", "llm", Texts.STREAM);
        store.put("keyed.op", "config", Texts.configuration(1, baseRoute, services, tenants));

        TwoModels tried = new TwoModels(harness, harness.gateways(3, store));
        Tally base = new Tally();
        Tally large = new Tally();
        AtomicBoolean added = new AtomicBoolean();
        tried.press("base", BASE_INTERVAL_MILLISECONDS, base, new AtomicBoolean(true));
        tried.press("large", LARGE_INTERVAL_MILLISECONDS, large, added);
        Thread.sleep(3_000);
        if (harness.trouble) {
            store.put("keyed.op", "version/base", "{\"model\":\"base\",\"version\":2}");
            harness.log("version 2 of base is acknowledged");
        }
        // Within version_all_ms, 21 s, all servers have it; here after less than 10 s.
        Thread.sleep(14_000);
        for (Engine engine : engines) {
            harness.log(
                    "%s: base %d, large %d",
                    engine.id(), engine.version("base"), engine.version("large"));
        }
        store.put(
                "keyed.op",
                "config",
                Texts.configuration(2, baseRoute + "," + largeRoute, services, tenants));
        harness.log("configuration 2 is acknowledged: it adds the route of large");
        // The bound of a change is config_apply_ms, 2 s.
        Thread.sleep(4_000);
        added.set(true);
        tried.counted.set(true);
        Thread.sleep(20_000);
        tried.counted.set(false);
        tried.clients.shutdown();
        tried.clients.awaitTermination(8, TimeUnit.SECONDS);
        harness.log(
                "served: first route %d of %d, added route %d of %d",
                base.served.get(), base.sent.get(), large.served.get(), large.sent.get());
        if (large.sent.get() < 20 || base.share() < 0.5) {
            return Harness.COULD_NOT_RUN;
        }
        return large.share() < base.share() / 4 ? Harness.BROKEN : Harness.HELD;
    }

    /** Sends requests to the daemons in turn, each on a connection of its own. */
    private void press(String model, int intervalMilliseconds, Tally tally, AtomicBoolean open) {
        clients.scheduleAtFixedRate(
                () -> {
                    if (open.get()) {
                        clients.execute(() -> send(model, tally, counted.get()));
                    }
                },
                0,
                intervalMilliseconds,
                TimeUnit.MILLISECONDS);
    }

    private void send(String model, Tally tally, boolean counts) {
        int one = number.incrementAndGet();
        String id = "q" + one;
        String parts = "5c1e07a2:800,91bd000" + one % 5 + ":400,e" + one + ":260";
        String result;
        try {
            result =
                    String.valueOf(
                            Client.call(
                                            gateways.get(one % gateways.size()).callersPort(),
                                            Texts.stream(
                                                    "/" + model + "/x", id, "key-clinic", model, parts),
                                            6_000)
                                    .status());
        } catch (Exception exception) {
            result = String.valueOf(exception);
        }
        harness.log("%s of %s -> %s", id, model, result);
        if (counts) {
            tally.sent.incrementAndGet();
            if (result.equals("200")) {
                tally.served.incrementAndGet();
            }
        }
    }
}
