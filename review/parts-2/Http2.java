import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages, byte for byte. */
final class Http2 {

    private Http2() {}

    /** A message: first line, headers in lower case, body. */
    record Message(String line, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a message; null at an orderly end before its first byte. */
    static Message read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        }
        return new Message(line, headers, body.toByteArray());
    }

    private static int chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("ended inside a body");
        }
        return Integer.parseInt(size.strip(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new IOException("ended inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("ended inside a line");
            }
            bytes.write(next);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A client's connection. */
    static final class Connection {

        final Socket socket = new Socket();
        private final InputStream in;

        Connection(String address, int timeoutMilliseconds) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setSoTimeout(timeoutMilliseconds);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        Message receive() throws IOException {
            return read(in);
        }

        void close() {
            try {
                socket.close();
            } catch (IOException exception) {
                // Closed in any case.
            }
        }
    }
}
