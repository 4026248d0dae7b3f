import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The platform's store as a log with keyed topics of one partition, as PROTOCOL.md describes it. It
 * answers every call at once and loses nothing.
 */
final class Store implements AutoCloseable {

    private record Entry(String key, byte[] value) {}

    private final HttpServer server;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "store");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, List<Entry>> topics = new HashMap<>();

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes the record of a key, as the operator or a server does; null deletes it. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        entries(topic).add(new Entry(key, bytes));
        notifyAll();
    }

    private List<Entry> entries(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getQuery();
            for (String pair : raw == null ? new String[0] : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/log-read" -> send(exchange, 200, read(query));
                case "/log-newest" -> send(exchange, 200, newest(query));
                case "/log-append" -> append(exchange, query, body);
                default -> send(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private synchronized byte[] read(Map<String, String> query)
            throws IOException, InterruptedException {
        List<Entry> entries = entries(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (entries.size() <= from && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
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
        return bytes.toByteArray();
    }

    private synchronized byte[] newest(Map<String, String> query) {
        List<Entry> entries = entries(query.get("topic"));
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < entries.size(); offset++) {
            Entry entry = entries.get(offset);
            items.remove(entry.key());
            if (entry.value().length > 0) {
                items.put(
                        entry.key(),
                        "{\"key\":\"" + entry.key() + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(entry.value())
                                + "\",\"offset\":" + offset + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":"
                        + entries.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized void append(HttpExchange exchange, Map<String, String> query, byte[] body)
            throws IOException {
        List<Entry> entries = entries(query.get("topic"));
        int offset = entries.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
            send(exchange, 412, ("{\"end\":" + offset + "}").getBytes(StandardCharsets.UTF_8));
            return;
        }
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            int keyLength = record[0] & 0xff;
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            entries.add(
                    new Entry(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        notifyAll();
        send(
                exchange,
                200,
                ("{\"offset\":" + offset + ",\"end\":" + entries.size() + "}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
