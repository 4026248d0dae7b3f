package org.bergamothoist.daemon;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An HTTP client that shows every byte and closes when the test says so. */
final class RawClient implements AutoCloseable {

    final Socket socket;
    private final InputStream input;

    RawClient(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        input = socket.getInputStream();
    }

    /** Sends a request with a body. */
    RawClient send(String method, String path, String body, String... headers) throws IOException {
        StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: d\r\n");
        for (String header : headers) {
            request.append(header).append("\r\n");
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        request.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    /** Sends a completion. */
    RawClient complete(String body, String... headers) throws IOException {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("Authorization: Bearer known");
        return send("POST", "/v1/completions", body, all.toArray(String[]::new));
    }

    /** Reads status line and headers. */
    String head() throws IOException {
        StringBuilder head = new StringBuilder();
        String line = line();
        while (!line.isEmpty()) {
            head.append(line).append('\n');
            line = line();
        }
        return head.toString();
    }

    /** Reads head and body of an answer with a content length. */
    String answer() throws IOException {
        String head = head();
        int length = 0;
        for (String line : head.split("\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return head + "\n" + new String(input.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Reads a chunked body to its end; fails if the connection closes before. */
    String chunks() throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(line(), 16);
            byte[] chunk = input.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("chunk is cut");
            }
            line();
            if (size == 0) {
                return body.toString();
            }
            body.append(new String(chunk, StandardCharsets.UTF_8));
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed after '" + line + "'");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
