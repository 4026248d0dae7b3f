import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's store: a log with keyed topics of one partition each. It loses nothing. */
final class Store2 {

    private record Entry(String key, byte[] value) {}

    private final HttpServer server;
    private final Map<String, List<Entry>> topics = new HashMap<>();

    Store2() throws IOException {
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    /** Appends a record; an empty value drops the key. Returns once it is acknowledged. */
    synchronized void put(String topic, String key, String value) {
        topics.computeIfAbsent(topic, name -> new ArrayList<>())
                .add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** The newest value of each key that has one. */
    synchronized Map<String, String> newest(String topic) {
        Map<String, String> values = new LinkedHashMap<>();
        for (Entry entry : topics.getOrDefault(topic, List.of())) {
            values.put(entry.key(), new String(entry.value(), StandardCharsets.UTF_8));
        }
        values.values().removeIf(String::isEmpty);
        return values;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        try {
            Answer answer = answer(exchange.getRequestURI().getPath(), query, body);
            if (answer.json()) {
                exchange.getResponseHeaders().set("Content-Type", "application/json");
            }
            exchange.sendResponseHeaders(
                    answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
            exchange.getResponseBody().write(answer.body());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException exception) {
            // The caller has gone.
        } finally {
            exchange.close();
        }
    }

    private record Answer(int status, byte[] body, boolean json) {}

    private static Answer json(int status, String text) {
        return new Answer(status, text.getBytes(StandardCharsets.UTF_8), true);
    }

    private synchronized Answer answer(String path, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        List<Entry> entries =
                topics.computeIfAbsent(query.getOrDefault("topic", ""), name -> new ArrayList<>());
        switch (path) {
            case "/log-read":
                return read(entries, query);
            case "/log-newest":
                return newest(entries);
            case "/log-append":
                return append(entries, query, body);
            default:
                return json(404, "{}");
        }
    }

    private Answer read(List<Entry> entries, Map<String, String> query)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long end =
                System.nanoTime()
                        + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
        while (entries.size() <= from && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000L));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return new Answer(200, bytes.toByteArray(), false);
    }

    private Answer newest(List<Entry> entries) {
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            items.remove(entry.key());
            if (entry.value().length > 0) {
                items.put(
                        entry.key(),
                        "{\"key\":\""
                                + entry.key()
                                + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(entry.value())
                                + "\",\"offset\":"
                                + offset
                                + "}");
            }
        }
        return json(
                200,
                "{\"items\":["
                        + String.join(",", items.values())
                        + "],\"has_more\":false,\"end\":"
                        + entries.size()
                        + "}");
    }

    private Answer append(List<Entry> entries, Map<String, String> query, byte[] body) {
        if (query.containsKey("at") && Integer.parseInt(query.get("at")) != entries.size()) {
            return json(412, "{\"end\":" + entries.size() + "}");
        }
        int offset = entries.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            int keyLength = content[0] & 0xff;
            byte[] value = new byte[content.length - 1 - keyLength];
            System.arraycopy(content, 1 + keyLength, value, 0, value.length);
            entries.add(new Entry(new String(content, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        notifyAll();
        return json(200, "{\"offset\":" + offset + ",\"end\":" + entries.size() + "}");
    }
}
