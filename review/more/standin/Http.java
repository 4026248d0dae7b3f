import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads the parts of HTTP/1.1 messages from a socket. */
final class Http {

    /** The first line and the headers of a message. */
    record Head(String firstLine, Map<String, String> headers) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    private Http() {}

    /** Reads a head; returns null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended in a head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return new Head(first, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("connection ended in a line");
        }
        return null;
    }

    /** Reads a body with a length or in chunks; fails if the connection ends before its end. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("connection ended between chunks");
                }
                int length = Integer.parseInt(line.split(";")[0].strip(), 16);
                if (length == 0) {
                    readLine(in);
                    return body.toByteArray();
                }
                body.write(readExactly(in, length));
                readLine(in);
            }
        }
        String length = head.header("Content-Length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection ended after " + bytes.length + " of " + length);
        }
        return bytes;
    }
}
