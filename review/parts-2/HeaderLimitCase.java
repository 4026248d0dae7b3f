import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** DENIED: the configuration allows larger headers; connections that are open keep the old limit. */
public final class HeaderLimitCase {

    private static final int CONNECTIONS = 24;
    private static final int REQUESTS_AFTERWARDS = 6;

    private HeaderLimitCase() {}

    public static void main(String[] arguments) throws Exception {
        Case2 play = new Case2(Path.of(arguments[0]), Path.of(arguments[1]));
        List<Server2> servers = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            String id = "i-7f3a91c" + index;
            Server2 server =
                    new Server2(
                            id,
                            (request, socket) -> {
                                play.say("run by " + id + ": " + request.header("X-Request-Id"));
                                Thread.sleep(43);
                                Server2.answer(request, socket, 200, "ok");
                            });
            servers.add(server);
            play.store.put(
                    "keyed.servers",
                    id,
                    Case2.entry("desk", server.address(), "ready", 1, System.currentTimeMillis()));
        }
        String routes = Case2.plainRoute("booking", "unsafe", "desk");
        play.configure(7, routes, Case2.plainService("desk"), Case2.TROUBLE ? 4_096 : 16_384);
        play.startGateways(2);
        List<Http2.Connection> connections = new ArrayList<>();
        for (int index = 0; index < CONNECTIONS; index++) {
            connections.add(
                    new Http2.Connection(play.gateways.get(index % 2).callers(), 3_000));
            call(play, connections.get(index), "short");
        }
        if (Case2.TROUBLE) {
            play.configure(11, routes, Case2.plainService("desk"), 16_384);
        }
        // config_apply_ms, and skew_max_ms besides; the connections stay in use meanwhile.
        for (int round = 0; round < 4; round++) {
            Thread.sleep(2_000);
            for (Http2.Connection connection : connections) {
                call(play, connection, "short");
            }
        }
        String longNote = "n".repeat(6_000);
        int denied = 0;
        for (int round = 0; round < REQUESTS_AFTERWARDS; round++) {
            for (int index = 0; index < CONNECTIONS; index++) {
                int status = call(play, connections.get(index), longNote);
                if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) {
                    denied++;
                }
                if (status != 200) {
                    connections.get(index).close();
                    connections.set(
                            index,
                            new Http2.Connection(play.gateways.get(index % 2).callers(), 3_000));
                }
            }
        }
        double allowed = 5 + play.requests() / 500.0;
        play.say("requests " + play.requests() + ", denied " + denied + ", allowed " + allowed);
        play.finish(denied > allowed ? 1 : 0);
    }

    private static int call(Case2 play, Http2.Connection connection, String note) throws Exception {
        String id = play.nextId();
        play.say("sent: " + id + " with a note of " + note.length() + " bytes");
        connection.send(
                Http2.bytes(
                        "POST /booking/2f HTTP/1.1\r\nHost: " + Case2.HOST + "\r\nX-Request-Id: " + id
                                + "\r\nX-Deadline-Ms: 1500\r\nX-Note: " + note
                                + "\r\nContent-Length: 4\r\n\r\nbook"));
        Http2.Message answer = connection.receive();
        play.say("answered: " + id + " " + (answer == null ? "closed" : answer.line()));
        return answer == null ? 0 : answer.status();
    }
}
