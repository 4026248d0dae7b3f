import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server of a service: checks who is meant, serves one request at a time on a connection. */
final class Server2 {

    /** Answers a request that this server runs. */
    interface Work {
        void run(Http2.Message request, Socket socket) throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket listener;
    private final Work work;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Server2(String id, Work work) throws IOException {
        this.id = id;
        this.work = work;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                thread(() -> serve(socket));
            }
        } catch (IOException exception) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http2.Message request = Http2.read(in); request != null; request = Http2.read(in)) {
                String meant = request.header("X-Expect-Instance");
                if (!meant.isEmpty() && !meant.equals(id)) {
                    socket.getOutputStream()
                            .write(
                                    Http2.bytes(
                                            "HTTP/1.1 421 M\r\nX-Request-Id: "
                                                    + request.header("X-Request-Id")
                                                    + "\r\nX-Instance-Id: "
                                                    + id
                                                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                work.run(request, socket);
            }
        } catch (IOException exception) {
            // The gateway has closed the connection.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    /** A complete, signed answer. */
    static void answer(Http2.Message request, Socket socket, int status, String body)
            throws IOException {
        socket.getOutputStream()
                .write(
                        Http2.bytes(
                                "HTTP/1.1 "
                                        + status
                                        + " S\r\nX-Request-Id: "
                                        + request.header("X-Request-Id")
                                        + "\r\nX-Response-Signature: 3e1b.07."
                                        + status
                                        + "\r\nKeep-Alive: timeout=30\r\nContent-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body));
    }

    /** Ends the server as a crash does: the port and all connections at once. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
