package org.bergamothoist.daemon.adapter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;

/** An outside system made of a server socket; a script decides what each connection does. */
final class SocketServer implements AutoCloseable {

    /** Requests as they arrived, head and body. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** What a connection does after a request was read. */
    @FunctionalInterface
    interface Script {
        void answer(Connection connection, String request) throws Exception;
    }

    /** One connection. */
    record Connection(Socket socket) {

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        void answer(int status, String body) throws IOException {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write("HTTP/1.1 " + status + " X\r\nContent-Length: " + length + "\r\n\r\n" + body);
        }

        void startEvents() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        }

        void event(String name, String data) throws IOException {
            write("event: " + name + "\ndata: " + data + "\n\n");
        }

        void start(String streamId) throws IOException {
            event(
                    "start",
                    """
                    {"incarnation":"i1","model":"m","adapter":"base","version":"1",\
                    "stream_id":"%s","cached_tokens":4,"prompt_tokens":9}\
                    """
                            .formatted(streamId));
        }

        void piece(int index, String text) throws IOException {
            event("piece", "{\"index\":" + index + ",\"text\":\"" + text + "\",\"tokens\":1}");
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void close() throws IOException {
            socket.close();
        }
    }

    SocketServer(Script script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemonThread(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        sockets.add(socket);
                        daemonThread(() -> serve(socket, script));
                    }
                });
    }

    private void serve(Socket socket, Script script) throws Exception {
        while (!socket.isClosed()) {
            String request = read(socket.getInputStream());
            requests.add(request);
            script.answer(new Connection(socket), request);
        }
    }

    private static String read(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection closed");
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.UTF_8);
        int length = 0;
        for (String line : text.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return text + new String(input.readNBytes(length), StandardCharsets.UTF_8);
    }

    int connections() {
        return sockets.size();
    }

    Target target(TargetKind kind) {
        return new Target(
                new TargetId("t1"), kind, "g", "127.0.0.1", server.getLocalPort(), "biel-a");
    }

    URI base() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    /** Code of a thread that ends when its socket does. */
    @FunctionalInterface
    private interface Body {
        void run() throws Exception;
    }

    private static void daemonThread(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception exception) {
                                // The socket was closed.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
