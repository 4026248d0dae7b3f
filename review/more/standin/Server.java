import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server of a service: registers itself, answers 421 to requests for another instance, and passes
 * each other request to its work, one at a time on a connection.
 */
final class Server implements AutoCloseable {

    /** Runs one request and writes its answer. */
    @FunctionalInterface
    interface Work {

        void run(Http.Head head, byte[] body, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket listener;
    private final Work work;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    Server(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        this.listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Harness.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes the registration of this server; models is a JSON array, or null for none. */
    void register(Store store, String service, String zone, int slots, String models, long born) {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"batch_slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0"
                        + (models == null ? "" : ",\"stage\":\"colocated\",\"models\":" + models)
                        + ",\"sequence\":1,\"born\":" + born + "}");
    }

    /** Answers with the server's signature. */
    static void answer(OutputStream out, Http.Head request, int status, String type, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + " S\r\nX-Request-Id: " + request.header("X-Request-Id")
                        + "\r\nX-Response-Signature: s." + request.header("X-Request-Id")
                        + "\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
                        + "\r\nKeep-Alive: timeout=5\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Harness.daemon(() -> serve(socket));
            }
        } catch (IOException exception) {
            // closed at the end of the case
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(in, head);
                String expected = head.header("X-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(
                            ("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                                            + "\r\nX-Request-Id: " + head.header("X-Request-Id")
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                work.run(head, body, out);
            }
        } catch (IOException exception) {
            // the caller closed the connection
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
