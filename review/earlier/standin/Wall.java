import java.util.ArrayList;
import java.util.List;

/**
 * A tenant becomes isolated by a change of the configuration. Later requests of another tenant have
 * the same parts of prompts as its earlier ones.
 */
public final class Wall {

    private static final int PROMPTS = 12;

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments, Wall::run);
    }

    private static int run(Harness harness) throws Exception {
        Store store = harness.keep(new Store());
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            engines.add(
                    harness.keep(
                            new Engine(
                                    harness, store, "i-7f3a91c" + index, "llm", "zone-a",
                                    List.of("base"), 3, 30)));
        }
        store.put("keyed.op", "config", configuration(1, false));
        List<Gateway> gateways = harness.gateways(3, store);

        harness.log("requests of clinic, which is not isolated");
        if (!send(harness, gateways, "a", "key-clinic", 0)) {
            return Harness.COULD_NOT_RUN;
        }
        Thread.sleep(2_000);
        if (harness.trouble) {
            store.put("keyed.op", "config", configuration(2, true));
            harness.log("configuration 2 is acknowledged: clinic is isolated");
        }
        // The bound of a change is config_apply_ms, 2 s.
        Thread.sleep(5_000);
        harness.log("requests of another tenant with the same parts");
        if (!send(harness, gateways, "b", "key-workshop", PROMPTS)) {
            return Harness.COULD_NOT_RUN;
        }

        int broken = 0;
        for (Engine engine : engines) {
            for (Engine.Run run : engine.runs()) {
                boolean foreign =
                        run.tenant().equals("workshop")
                                && run.reusedPartsOfTenants().containsValue("clinic");
                if (foreign) {
                    broken++;
                }
            }
        }
        harness.log("%d of %d requests of workshop used memory that clinic made", broken, PROMPTS);
        boolean clinicIsolated = harness.trouble;
        return clinicIsolated && broken > 0 ? Harness.BROKEN : Harness.HELD;
    }

    private static String configuration(int version, boolean clinicIsolated) {
        return Texts.configuration(
                version,
                Texts.route("r1", "/draft/", "streaming", "llm", Texts.STREAM),
                Texts.engineService("llm", "[{\"name\":\"base\"}]"),
                Texts.tenant("clinic", "key-clinic", clinicIsolated)
                        + ","
                        + Texts.tenant("workshop", "key-workshop", false));
    }

    /** Sends a request for each prompt, whose last part is its own; returns whether all are served. */
    private static boolean send(
            Harness harness, List<Gateway> gateways, String prefix, String key, int firstOwnPart)
            throws Exception {
        boolean served = true;
        for (int prompt = 0; prompt < PROMPTS; prompt++) {
            String id = prefix + prompt;
            String parts =
                    String.format(
                            "5c1e07a2:800,91bd%04x:410,e4402b%02x:250", prompt, firstOwnPart + prompt);
            Client.Answer answer =
                    Client.call(
                            gateways.get(prompt % gateways.size()).callersPort(),
                            Texts.stream("/draft/x", id, key, "base", parts),
                            6_000);
            harness.log("%s -> %d, %d bytes", id, answer.status(), answer.body().length);
            served &= answer.status() == 200;
        }
        return served;
    }
}
