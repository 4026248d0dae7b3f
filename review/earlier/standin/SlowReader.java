import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Daemons are stopped and started in turn. Each sends a long answer to a client on a slow link when
 * it gets SIGTERM.
 */
public final class SlowReader {

    private static final int DAEMONS = 6;

    /** Least time between the SIGTERMs of two daemons. */
    private static final int GAP_MILLISECONDS = 1_300;

    private static final int ROLLING_SECONDS = 92;

    /** The link of a client: 12 Mbit/s. */
    private static final int BYTES_PER_SECOND = 1_500_000;

    /** Of the shortest answer; each next one is longer by a step. */
    private static final int ANSWER_BYTES = 9_000_000;

    private static final int STEP_BYTES = 37_000;
    private static final int STEPS = 32;
    private static final int TIMEOUT_MILLISECONDS = 15_000;

    /** Part of grace_s, 8 s, after which a server that is still at work excuses the end. */
    private static final long LAST_SIXTH_NANOSECONDS = 8_000_000_000L * 5 / 6;

    private final Harness harness;
    private final Map<String, Long> endedAt = new ConcurrentHashMap<>();
    private long nextSignalAt = System.nanoTime();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private SlowReader(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments, harness -> new SlowReader(harness).run());
    }

    private int run() throws Exception {
        Store store = harness.keep(new Store());
        for (int index = 0; index < 3; index++) {
            harness.keep(new Server("i-7f3a91c" + index, this::answer))
                    .register(store, "app", "zone-a", 6, null, System.currentTimeMillis());
        }
        store.put(
                "keyed.op",
                "config",
                Texts.configuration(
                        1,
                        Texts.route(
                                "r1", "/report/", "unsafe", "app",
                                "\"timeout_ms\":" + TIMEOUT_MILLISECONDS
                                        + ",\"target_latency_ms\":500,\"priority\":2,\"attempts\":1"),
                        Texts.plainService("app"),
                        Texts.tenant("clinic", "key-clinic", false)));
        long end = System.nanoTime() + ROLLING_SECONDS * 1_000_000_000L;
        List<Thread> rolls = new ArrayList<>();
        for (Gateway gateway : harness.gateways(DAEMONS, store)) {
            rolls.add(Harness.daemon(() -> roll(gateway, end)));
            Thread.sleep(GAP_MILLISECONDS);
        }
        for (Thread roll : rolls) {
            roll.join();
        }
        harness.log("%d requests, %d whole answers, %d lost", requests.get(), whole.get(), lost.get());
        if (whole.get() == 0) {
            return Harness.COULD_NOT_RUN;
        }
        return lost.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    private void answer(Http.Head head, byte[] body, java.io.OutputStream out)
            throws IOException, InterruptedException {
        String id = head.header("X-Request-Id");
        int number = Integer.parseInt(id.substring(1));
        int length = ANSWER_BYTES + STEP_BYTES * (number % STEPS);
        harness.log("server runs %s, answers %d bytes", id, length);
        Thread.sleep(100);
        Server.answer(out, head, 200, "application/pdf", new byte[length]);
        endedAt.put(id, System.nanoTime());
        harness.log("server has written the answer of %s", id);
    }

    private void roll(Gateway gateway, long end) {
        try {
            while (System.nanoTime() < end) {
                rollOnce(gateway);
            }
        } catch (Exception exception) {
            harness.log("%s: %s", gateway.name, exception);
        }
    }

    /** Waits for this daemon's turn, so that two SIGTERMs are never closer than the gap. */
    private void awaitTurn() throws InterruptedException {
        long wait;
        synchronized (this) {
            long now = System.nanoTime();
            long turn = Math.max(now, nextSignalAt);
            nextSignalAt = turn + GAP_MILLISECONDS * 1_000_000L;
            wait = (turn - now) / 1_000_000;
        }
        Thread.sleep(wait);
    }

    private void rollOnce(Gateway gateway) throws Exception {
        awaitTurn();
        String id = "q" + requests.incrementAndGet();
        String[] outcome = new String[1];
        Thread client = Harness.daemon(() -> outcome[0] = receive(gateway, id));
        Thread.sleep(600);
        long signalledAt = System.nanoTime();
        if (harness.trouble) {
            gateway.terminate();
            harness.log("SIGTERM to %s", gateway.name);
            if (!gateway.awaitEnd(9_000)) {
                gateway.close();
            }
            harness.log(
                    "%s has ended %.1f s after SIGTERM",
                    gateway.name, (System.nanoTime() - signalledAt) / 1e9);
        }
        client.join();
        boolean excused =
                endedAt.getOrDefault(id, Long.MAX_VALUE) > signalledAt + LAST_SIXTH_NANOSECONDS;
        boolean isWhole = outcome[0].startsWith("whole");
        harness.log("client of %s: %s%s", id, outcome[0], !isWhole && excused ? " (excused)" : "");
        if (isWhole) {
            whole.incrementAndGet();
        } else if (!excused) {
            lost.incrementAndGet();
        }
        if (harness.trouble) {
            gateway.start();
            gateway.awaitReady();
        }
    }

    private static String receive(Gateway gateway, String id) {
        int received = 0;
        int length = -1;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(1 << 16);
            socket.connect(new InetSocketAddress("127.0.0.1", gateway.callersPort()), 1_000);
            socket.setSoTimeout(TIMEOUT_MILLISECONDS);
            String request =
                    Texts.plain("POST", "/report/x", id, "key-clinic", 0)
                            .replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: " + TIMEOUT_MILLISECONDS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            length = Integer.parseInt(head.header("Content-Length"));
            byte[] buffer = new byte[BYTES_PER_SECOND / 50];
            long start = System.nanoTime();
            while (received < length) {
                int count = in.read(buffer, 0, Math.min(buffer.length, length - received));
                if (count < 0) {
                    return "the connection ended after " + received + " of " + length + " bytes";
                }
                received += count;
                long due = start + (long) (received * 1e9 / BYTES_PER_SECOND);
                Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            }
            return "whole answer, status " + head.status() + ", " + received + " bytes";
        } catch (Exception exception) {
            return exception + " after " + received + " of " + length + " bytes";
        }
    }
}
