import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** DRAIN: an entry of another writer, with fields missing, and then a server that leaves. */
public final class OddEntryCase {

    private static final long DRAIN_MS = 2_000;
    private static final long BEAT_MS = 1_200;

    /** How much longer than drain_ms the server goes on serving. */
    private static final long LINGER_MS = 3_000;

    private OddEntryCase() {}

    public static void main(String[] arguments) throws Exception {
        Case2 play = new Case2(Path.of(arguments[0]), Path.of(arguments[1]));
        AtomicLong drainedAt = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger late = new AtomicInteger();
        List<Server2> servers = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            String id = "i-7f3a91c" + index;
            servers.add(
                    new Server2(
                            id,
                            (request, socket) -> {
                                long after = play.now() - drainedAt.get();
                                boolean tooLate = id.endsWith("1") && after > DRAIN_MS;
                                if (tooLate) {
                                    late.incrementAndGet();
                                }
                                play.say(
                                        "run by " + id + ": " + request.header("X-Request-Id")
                                                + (tooLate
                                                        ? ", " + after + " ms after it left"
                                                        : ""));
                                Thread.sleep(43);
                                Server2.answer(request, socket, 200, "ok");
                            }));
        }
        play.configure(
                7, Case2.plainRoute("booking", "unsafe", "desk"), Case2.plainService("desk"), 16_384);
        long born = System.currentTimeMillis();
        String[] state = {"ready", "ready", "ready"};
        boolean[] gone = new boolean[3];
        Case2.thread(
                () -> {
                    try {
                        for (int sequence = 1; ; sequence++) {
                            for (int index = 0; index < 3; index++) {
                                if (!gone[index]) {
                                    Server2 server = servers.get(index);
                                    play.store.put(
                                            "keyed.servers",
                                            server.id,
                                            Case2.entry(
                                                    "desk",
                                                    server.address(),
                                                    state[index],
                                                    sequence,
                                                    born));
                                }
                            }
                            Thread.sleep(BEAT_MS);
                        }
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    }
                });
        play.startGateways(2);
        for (int client = 0; client < 8; client++) {
            Gateway2 gateway = play.gateways.get(client % 2);
            Case2.thread(() -> send(play, gateway));
        }
        Thread.sleep(3_000);
        Server2 leaving = servers.get(0);
        if (Case2.TROUBLE) {
            // Another writer's entry: version and cold_remaining_ms are missing.
            play.store.put(
                    "keyed.servers",
                    leaving.id,
                    "{\"service\":\"desk\",\"address\":\"" + leaving.address()
                            + "\",\"zone\":\"biel-a\",\"batch_slots\":6,\"state\":\"ready\""
                            + ",\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
            play.say("another writer: entry " + leaving.id + " without version and cold_remaining_ms");
        }
        Thread.sleep(2 * BEAT_MS + 300);
        state[0] = "draining";
        play.store.put(
                "keyed.servers",
                leaving.id,
                Case2.entry("desk", leaving.address(), "draining", 1_000, born));
        drainedAt.set(play.now());
        play.say("store: acknowledged that " + leaving.id + " is draining");
        gone[0] = true;
        for (long waited = 0; waited < DRAIN_MS + LINGER_MS; waited += BEAT_MS) {
            Thread.sleep(BEAT_MS);
            play.store.put(
                    "keyed.servers",
                    leaving.id,
                    Case2.entry(
                            "desk", leaving.address(), "draining", 1_001 + waited / BEAT_MS, born));
        }
        play.say("requests run by " + leaving.id + " later than drain_ms: " + late.get());
        play.store.put("keyed.servers", leaving.id, "");
        play.finish(late.get() > 0 ? 1 : 0);
    }

    private static void send(Case2 play, Gateway2 gateway) {
        Http2.Connection connection = null;
        try {
            while (true) {
                String id = play.nextId();
                try {
                    if (connection == null) {
                        connection = new Http2.Connection(gateway.callers(), 3_000);
                    }
                    play.say("sent to " + gateway.name + ": " + id);
                    connection.send(
                            Http2.bytes(
                                    "POST /booking/2f HTTP/1.1\r\nHost: " + Case2.HOST
                                            + "\r\nX-Request-Id: " + id
                                            + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbook"));
                    Http2.Message answer = connection.receive();
                    play.say("answered: " + id + " " + (answer == null ? "closed" : answer.line()));
                    if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                        connection.close();
                        connection = null;
                    }
                } catch (java.io.IOException exception) {
                    play.say("failed: " + id + " " + exception);
                    connection = null;
                }
                Thread.sleep(100);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
