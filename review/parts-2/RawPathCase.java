import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** UNASKED: paths and queries with letters outside ASCII, as the client sends them. */
public final class RawPathCase {

    private static final int REQUESTS = 40;

    private RawPathCase() {}

    public static void main(String[] arguments) throws Exception {
        Case2 play = new Case2(Path.of(arguments[0]), Path.of(arguments[1]));
        Map<String, String> sent = new ConcurrentHashMap<>();
        AtomicInteger changed = new AtomicInteger();
        for (int index = 1; index <= 3; index++) {
            String id = "i-7f3a91c" + index;
            Server2 server =
                    new Server2(
                            id,
                            (request, socket) -> {
                                String requestId = request.header("X-Request-Id");
                                boolean same = request.line().equals(sent.get(requestId));
                                if (!same) {
                                    changed.incrementAndGet();
                                }
                                play.say(
                                        "run by " + id + ": " + requestId + " " + bytes(request.line())
                                                + (same ? "" : ", not as sent"));
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
        String name = Case2.TROUBLE ? "Z\u00fcrich" : "Zuerich";
        // Each byte of the UTF-8 form as one character: the bytes are written as they are.
        String raw =
                new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        int refused = 0;
        for (int index = 0; index < REQUESTS; index++) {
            String id = play.nextId();
            String line = "POST /booking/" + raw + "?shop=" + raw + " HTTP/1.1";
            sent.put(id, line);
            Http2.Connection connection =
                    new Http2.Connection(play.gateways.get(index % 2).callers(), 3_000);
            play.say("sent: " + id + " " + bytes(line));
            connection.send(
                    Http2.bytes(
                            line + "\r\nHost: " + Case2.HOST + "\r\nX-Request-Id: " + id
                                    + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbook"));
            Http2.Message answer = connection.receive();
            play.say("answered: " + id + " " + (answer == null ? "closed" : answer.line()));
            refused += answer != null && answer.status() == 400 ? 1 : 0;
            connection.close();
        }
        play.say(
                "requests " + REQUESTS + ", run with another path or query " + changed.get()
                        + ", refused with 400 " + refused);
        play.finish(changed.get() > 0 ? 1 : 0);
    }

    /** The text with each byte outside ASCII in hexadecimal. */
    private static String bytes(String text) {
        StringBuilder shown = new StringBuilder();
        for (char letter : text.toCharArray()) {
            shown.append(letter < 128 ? String.valueOf(letter) : String.format("\\x%02x", (int) letter));
        }
        return shown.toString();
    }
}
