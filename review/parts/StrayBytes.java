package parts;

import static parts.Parts.*;

import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Safe requests to four servers, some of whose answers are failures. With the disruption, one
 * server adds the status line of a second answer to a few of its answers, and nothing more.
 */
final class StrayBytes {
    static final int SERVERS = 4;
    static final int GATEWAYS = 2;
    static final int CLIENTS = 60;
    static final int PAUSE_MS = 220;
    static final int WORK_MS = 30;
    static final int PLAY_MS = 70_000;

    /** Share of requests that a server answers with 500, after it has run them. */
    static final double FAILURES = 0.14;

    /** Of the faulty server's answers, each of this number is followed by other bytes: 2 in 100. */
    static final int STRAY_EVERY = 50;

    private static final AtomicInteger ANSWERS = new AtomicInteger();

    private StrayBytes() {}

    public static void main(String[] arguments) {
        run(arguments[0], StrayBytes::play);
    }

    private static boolean answer(String server, boolean faulty, Request request, Socket socket) throws Exception {
        if (!request.path().startsWith("/state/")) {
            respond(socket, 200, "X-Instance-Id: " + server + "\r\n", new byte[0], request);
            return true;
        }
        Thread.sleep(WORK_MS);
        int status = ThreadLocalRandom.current().nextDouble() < FAILURES ? 500 : 200;
        String stray = TROUBLE && faulty && ANSWERS.incrementAndGet() % STRAY_EVERY == 0 ? "HTTP/1.1 200 OK" : "";
        String body = server + " answers " + request.id() + " with " + status;
        String head = "HTTP/1.1 " + status + (status == 200 ? " OK" : " Internal Server Error") + "\r\nX-Request-Id: " + request.id()
                + "\r\nX-Response-Signature: s-" + request.id() + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body + stray).getBytes(StandardCharsets.ISO_8859_1));
        note(body + ", connection " + socket.getPort() + (stray.isEmpty() ? "" : ", and adds bytes to the answer"));
        return true;
    }

    private static void client(Gateway gateway, long end, List<String> broken) throws Exception {
        while (now() < end) {
            try (Socket socket = new Socket("127.0.0.1", gateway.callers)) {
                socket.setSoTimeout(16_000);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (now() < end) {
                    Thread.sleep(PAUSE_MS);
                    String id = newId();
                    socket.getOutputStream().write(request("GET", "a.example", "/state/" + id, id, "X-Deadline-Ms: 15000\r\n", null));
                    Answer answer = readAnswer(in);
                    String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
                    String seen = "the client of " + id + " gets " + answer.status() + ", signature "
                            + answer.headers().get("x-response-signature") + ", body \"" + body + "\"";
                    note(seen);
                    if (answer.status() / 100 == 2 && !body.endsWith(" answers " + id + " with 200")) {
                        broken.add("MIXED: " + seen);
                    }
                }
            } catch (IOException exception) {
                note("a client's connection ends: " + exception);
            }
        }
    }

    private static List<String> play() throws Exception {
        Path folder = Files.createTempDirectory("review");
        Store store = open(new Store());
        store.put("keyed.op", "config", plainConfig(1, ""));
        for (int index = 0; index < SERVERS; index++) {
            String id = "i-" + index;
            boolean faulty = index == 0;
            open(new Server(store, "app", id, (request, socket) -> answer(id, faulty, request, socket)).register());
        }
        List<Gateway> gateways = new ArrayList<>();
        for (int index = 0; index < GATEWAYS; index++) {
            gateways.add(open(new Gateway("edge-" + index, store, folder)));
            gateways.get(index).start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        Thread.sleep(3_500);
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<?>> running = new ArrayList<>();
        long end = now() + PLAY_MS;
        for (int index = 0; index < CLIENTS; index++) {
            Gateway gateway = gateways.get(index % GATEWAYS);
            running.add(clients.submit(() -> {
                client(gateway, end, broken);
                return null;
            }));
        }
        for (Future<?> one : running) {
            one.get();
        }
        clients.shutdownNow();
        return broken;
    }
}
