import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: a machine is lost, and its clients keep their connections to the one that is left. */
public final class KeptHeadsCase {

    /** Kept connections of all clients; a machine has 4,100 descriptors, 200 of them for files. */
    private static final int CONNECTIONS = 3_400;

    /** Pause of a connection between two requests; idle_timeout_ms is 15,000. */
    private static final int PAUSE_MS = 10_000;

    /** Header section of a request; max_header_bytes is 16,384. */
    private static final int NOTE_BYTES = 9_000;

    private static final int TIMEOUT_MS = 1_500;

    /** Time after timeout_ms at which a final answer is due. */
    private static final int DUE_MS = 500;

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
    private static final Map<String, AtomicInteger> OUTCOMES = new ConcurrentHashMap<>();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger OVERDUE = new AtomicInteger();
    private static final AtomicInteger OVERDUE_RUN = new AtomicInteger();
    private static volatile long judgedFrom = Long.MAX_VALUE;
    private static volatile Gateway2 killed;

    private KeptHeadsCase() {}

    private static final class Client {

        private final Case2 play;
        private Gateway2 gateway;
        private Http2.Connection connection;

        private Client(Case2 play, Gateway2 gateway) {
            this.play = play;
            this.gateway = gateway;
        }

        private void request() {
            String id = play.nextId();
            long sentAt = play.now();
            Gateway2 asked = gateway;
            boolean connected = false;
            String outcome;
            try {
                if (connection == null) {
                    connection = new Http2.Connection(gateway.callers(), 2 * TIMEOUT_MS);
                }
                connection.send(
                        Http2.bytes(
                                "POST /booking/2f HTTP/1.1\r\nHost: " + Case2.HOST
                                        + "\r\nX-Request-Id: " + id
                                        + "\r\nX-Deadline-Ms: " + TIMEOUT_MS
                                        + "\r\nX-Note: " + "n".repeat(NOTE_BYTES)
                                        + "\r\nContent-Length: 4\r\n\r\nbook"));
                connected = true;
                Http2.Message answer = connection.receive();
                outcome = answer == null ? "closed" : String.valueOf(answer.status());
                if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                    drop();
                }
            } catch (SocketTimeoutException exception) {
                outcome = "no answer";
                drop();
            } catch (IOException exception) {
                outcome = exception.getMessage();
                drop();
            }
            boolean atRemaining = asked != killed;
            if (sentAt > judgedFrom && atRemaining) {
                OUTCOMES.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
                judge(id, connected, play.now() - sentAt);
            }
            play.say(
                    "sent to " + asked.name + ": " + id + ", answered: " + outcome + " after "
                            + (play.now() - sentAt) + " ms");
            if (!atRemaining) {
                gateway = play.gateways.get(1);
            }
        }

        /** Counts a request that was sent whole and is not answered in time. */
        private static void judge(String id, boolean connected, long milliseconds) {
            if (!connected || milliseconds <= TIMEOUT_MS) {
                return;
            }
            UNANSWERED.incrementAndGet();
            if (milliseconds > TIMEOUT_MS + DUE_MS) {
                OVERDUE.incrementAndGet();
                if (RUN.contains(id)) {
                    OVERDUE_RUN.incrementAndGet();
                }
            }
        }

        private void drop() {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }
    }

    public static void main(String[] arguments) throws Exception {
        Case2 play = new Case2(Path.of(arguments[0]), Path.of(arguments[1]));
        for (int index = 1; index <= 3; index++) {
            String id = "i-7f3a91c" + index;
            Server2 server =
                    new Server2(
                            id,
                            (request, socket) -> {
                                RUN.add(request.header("X-Request-Id"));
                                play.say("run by " + id + ": " + request.header("X-Request-Id"));
                                Thread.sleep(43);
                                Server2.answer(request, socket, 200, "ok");
                            });
            play.store.put(
                    "keyed.servers",
                    id,
                    Case2.entry("desk", server.address(), "ready", 1, System.currentTimeMillis()));
        }
        play.configure(
                7, Case2.plainRoute("booking", "unsafe", "desk"), Case2.plainService("desk"), 16_384);
        play.startGateways(2);
        Random random = new Random(7);
        ScheduledThreadPoolExecutor threads = new ScheduledThreadPoolExecutor(300);
        for (int index = 0; index < CONNECTIONS; index++) {
            Client client = new Client(play, play.gateways.get(index % 2));
            threads.scheduleAtFixedRate(
                    client::request, random.nextInt(PAUSE_MS), PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        Thread.sleep(22_000);
        if (Case2.TROUBLE) {
            killed = play.gateways.get(0);
            play.say("killed: " + killed.name);
            killed.kill();
        }
        Thread.sleep(1_000);
        judgedFrom = play.now();
        Thread.sleep(35_000);
        int answered = 0;
        int all = 0;
        for (Map.Entry<String, AtomicInteger> outcome : OUTCOMES.entrySet()) {
            all += outcome.getValue().get();
            answered += outcome.getKey().equals("200") ? outcome.getValue().get() : 0;
        }
        play.say("outcomes at machines without disruption " + OUTCOMES);
        play.say("answered with success " + answered + " of " + all);
        play.say(
                "unanswered at timeout_ms " + UNANSWERED.get() + ", half a second later "
                        + OVERDUE.get() + ", of these run by a server " + OVERDUE_RUN.get());
        boolean broken = OVERDUE.get() >= 8 && 2 * OVERDUE.get() > UNANSWERED.get();
        play.finish(broken ? 1 : 0);
    }
}
