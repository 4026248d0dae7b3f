import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, for one request after the other. */
final class Client implements AutoCloseable {

    /** A whole answer. */
    record Answer(Http.Head head, byte[] body) {

        int status() {
            return head.status();
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port, int timeoutMilliseconds) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMilliseconds);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String head, byte[] body) throws IOException {
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    Answer receive() throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            throw new IOException("the connection ended without an answer");
        }
        return new Answer(head, Http.readBody(in, head));
    }

    /** Makes one call on a connection of its own. */
    static Answer call(int port, String head, int timeoutMilliseconds) throws IOException {
        try (Client client = new Client(port, timeoutMilliseconds)) {
            client.send(head, new byte[0]);
            return client.receive();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
