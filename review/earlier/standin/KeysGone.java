import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The only tenant is taken out of the configuration, and its key with it. */
public final class KeysGone {

    private static final int REQUESTS = 12;

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments, KeysGone::run);
    }

    private static int run(Harness harness) throws Exception {
        Store store = harness.keep(new Store());
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int index = 0; index < 3; index++) {
            Server server =
                    harness.keep(
                            new Server(
                                    "i-7f3a91c" + index,
                                    (head, body, out) -> {
                                        String id = head.header("X-Request-Id");
                                        ran.add(id);
                                        harness.log(
                                                "server runs %s, X-Tenant-Id '%s'",
                                                id, head.header("X-Tenant-Id"));
                                        Thread.sleep(30);
                                        Server.answer(out, head, 200, "text/plain", new byte[800]);
                                    }));
            server.register(store, "app", "zone-a", 6, null, System.currentTimeMillis());
        }
        store.put(
                "keyed.op", "config", configuration(1, Texts.tenant("clinic", "key-clinic", false)));
        List<Gateway> gateways = harness.gateways(3, store);

        send(harness, gateways, "a");
        int before = ran.size();
        if (harness.trouble) {
            store.put("keyed.op", "config", configuration(2, ""));
            harness.log("configuration 2 is acknowledged: it holds no key");
        }
        // The bound of a change is config_apply_ms, 2 s.
        Thread.sleep(5_000);
        ran.clear();
        send(harness, gateways, "b");
        harness.log("run before: %d of %d; run later: %d of %d", before, REQUESTS, ran.size(), REQUESTS);
        if (before < REQUESTS || !harness.trouble && ran.size() < REQUESTS) {
            return Harness.COULD_NOT_RUN;
        }
        boolean keyDropped = harness.trouble;
        return keyDropped && !ran.isEmpty() ? Harness.BROKEN : Harness.HELD;
    }

    private static String configuration(int version, String tenants) {
        return Texts.configuration(
                version,
                Texts.route("r1", "/slots/", "unsafe", "app", Texts.PLAIN),
                Texts.plainService("app"),
                tenants);
    }

    private static void send(Harness harness, List<Gateway> gateways, String prefix)
            throws Exception {
        for (int index = 0; index < REQUESTS; index++) {
            String id = prefix + index;
            Gateway gateway = gateways.get(index % gateways.size());
            Client.Answer answer =
                    Client.call(
                            gateway.callersPort(),
                            Texts.plain("POST", "/slots/x", id, "key-clinic", 0),
                            3_000);
            harness.log("%s at %s -> %d", id, gateway.name, answer.status());
        }
    }
}
