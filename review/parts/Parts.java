package parts;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the platform's store, of servers and clients, and a starter of gateways. */
final class Parts {
    static final long START = System.nanoTime();
    static final Path ROOT = Path.of("").toAbsolutePath();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final List<AutoCloseable> OPEN = new CopyOnWriteArrayList<>();
    private static PrintWriter record;

    private Parts() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void note(String text) {
        String line = String.format("%7d ms  %s", now(), text);
        System.out.println(line);
        if (record != null) {
            record.println(line);
            record.flush();
        }
    }

    interface Case {
        /** Returns what broke the rule, or an empty list. */
        List<String> run() throws Exception;
    }

    /** Runs a case; ends all that it started; exits with 0, 1 or 2. */
    static void run(String recordFile, Case body) {
        int code = 2;
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException exception) {
                return;
            }
            note("the case takes too long");
            closeAll();
            Runtime.getRuntime().halt(2);
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Parts::closeAll));
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
            note("trouble=" + TROUBLE);
            List<String> broken = body.run();
            broken.forEach(text -> note("BROKEN: " + text));
            code = broken.isEmpty() ? 0 : 1;
            note(code == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable failure) {
            StringWriter text = new StringWriter();
            failure.printStackTrace(new PrintWriter(text));
            note("could not run: " + text);
        }
        closeAll();
        System.exit(code);
    }

    private static synchronized void closeAll() {
        for (AutoCloseable one : OPEN) {
            try {
                one.close();
            } catch (Exception exception) {
                note("not closed: " + exception);
            }
        }
        OPEN.clear();
    }

    static <T extends AutoCloseable> T open(T one) {
        OPEN.add(0, one);
        return one;
    }

    private static final Set<Integer> PORTS = new HashSet<>();

    /** A port below those of outgoing connections, given out once. */
    static synchronized int freePort() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 400; tries++) {
            int port = 20_000 + random.nextInt(12_000);
            if (!PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException exception) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    static String json(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    /** The platform's store: keyed topics with one partition each. */
    static final class Store implements AutoCloseable {
        private record Entry(String key, byte[] value) {}

        private final HttpServer server;
        private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        private final Map<String, List<Entry>> topics = new HashMap<>();

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", freePort()), 200);
            server.setExecutor(threads);
            server.createContext("/", this::handle);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        synchronized int put(String topic, String key, String value) {
            List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            entries.add(new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
            return entries.size();
        }

        private void handle(HttpExchange call) throws IOException {
            byte[] body = call.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String text = call.getRequestURI().getQuery();
            for (String pair : text == null ? new String[0] : text.split("&")) {
                int at = pair.indexOf('=');
                query.put(pair.substring(0, at), pair.substring(at + 1));
            }
            try {
                Object[] answer = answer(call.getRequestURI().getPath(), query, body);
                byte[] bytes = (byte[]) answer[1];
                call.sendResponseHeaders((Integer) answer[0], bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) {
                    call.getResponseBody().write(bytes);
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            } finally {
                call.close();
            }
        }

        private synchronized Object[] answer(String path, Map<String, String> query, byte[] body)
                throws InterruptedException, IOException {
            List<Entry> entries = topics.computeIfAbsent(query.get("topic"), name -> new ArrayList<>());
            switch (path) {
                case "/log-read" -> {
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
                    return new Object[] {200, bytes.toByteArray()};
                }
                case "/log-newest" -> {
                    Map<String, String> items = new LinkedHashMap<>();
                    for (int offset = 0; offset < entries.size(); offset++) {
                        Entry entry = entries.get(offset);
                        items.remove(entry.key());
                        if (entry.value().length > 0) {
                            items.put(entry.key(), "{\"key\":" + json(entry.key()) + ",\"value\":\""
                                    + Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
                        }
                    }
                    return new Object[] {200, ("{\"items\":[" + String.join(",", items.values())
                            + "],\"has_more\":false,\"end\":" + entries.size() + "}").getBytes(StandardCharsets.UTF_8)};
                }
                case "/log-append" -> {
                    if (query.containsKey("at") && Integer.parseInt(query.get("at")) != entries.size()) {
                        return new Object[] {412, ("{\"end\":" + entries.size() + "}").getBytes()};
                    }
                    int offset = entries.size();
                    ByteBuffer buffer = ByteBuffer.wrap(body);
                    while (buffer.hasRemaining()) {
                        byte[] content = new byte[buffer.getInt()];
                        buffer.get(content);
                        int length = content[0] & 0xff;
                        entries.add(new Entry(new String(content, 1, length, StandardCharsets.UTF_8),
                                Arrays.copyOfRange(content, 1 + length, content.length)));
                    }
                    notifyAll();
                    return new Object[] {200, ("{\"offset\":" + offset + ",\"end\":" + entries.size() + "}").getBytes()};
                }
                default -> {
                    return new Object[] {404, new byte[0]};
                }
            }
        }

        @Override
        public void close() {
            server.stop(0);
            threads.shutdownNow();
        }
    }

    /** A gateway process, started by the line of the deploy file. */
    static final class Gateway implements AutoCloseable {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final int directory = freePort();
        final int peers = freePort();
        final int metrics = freePort();
        private final Path folder;
        private final Path settings;
        private final List<String> command;
        Process process;
        int starts;

        Gateway(String name, Store store, Path folder) throws IOException {
            this.name = name;
            this.folder = folder;
            this.settings = folder.resolve(name + ".json");
            String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
            String run = deploy.lines().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
            Map<String, String> values = new HashMap<>();
            values.put("node_name", json(name));
            values.put("zone", json("biel-a"));
            values.put("listen.frontend", json("127.0.0.1:" + callers));
            values.put("listen.readiness", json("127.0.0.1:" + readiness));
            values.put("listen.directory", json("127.0.0.1:" + directory));
            values.put("ip", "127.0.0.1");
            values.put("internal_ports.0", "" + peers);
            values.put("internal_ports.1", "" + metrics);
            values.put("platform.address", json(store.address()));
            values.put("bounds.lease_ms", "3000");
            values.put("bounds.grace_s", "8");
            values.put("bounds.budget_slack", "52");
            values.put("bounds.version_ms", "15000");
            values.put("bounds.config_apply_ms", "2000");
            values.put("bounds.drain_ms", "2000");
            values.put("limits.cpu_share", "0.75");
            values.put("limits.cores", "1");
            String text = Files.readString(ROOT.resolve("deploy/gateway.json"))
                    // Sections of bounds that this deployment does not have.
                    .replaceAll("(?s)\\{\\{#.*?\\{\\{/[^}]*}}", "");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "|json}}", value.getValue())
                        .replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Files.writeString(settings, text);
        }

        void start() throws IOException {
            starts++;
            ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve(name + "-" + starts + ".log").toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BERGAMOTHOIST_SETTINGS", settings.toString());
            process = builder.start();
            note(name + " started, pid " + process.pid());
        }

        boolean ready() {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL("http://127.0.0.1:" + readiness + "/readiness").openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            long end = now() + 20_000;
            while (!ready()) {
                if (now() > end) {
                    throw new IllegalStateException(name + " is not ready");
                }
                Thread.sleep(50);
            }
            note(name + " is ready");
        }

        /** Sends SIGTERM. */
        void terminate() {
            note(name + " gets SIGTERM");
            process.destroy();
        }

        /** Sends SIGKILL. */
        void kill() throws Exception {
            note(name + " gets SIGKILL");
            process.destroyForcibly().waitFor();
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
        }
    }

    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-request-id", "");
        }
    }

    interface Handler {
        /** Answers a request; the connection is closed if it returns false. */
        boolean answer(Request request, Socket socket) throws Exception;
    }

    /** A server, which registers itself and answers 421 to requests for another one. */
    static final class Server implements AutoCloseable {
        final String id;
        final String service;
        final long born = System.currentTimeMillis();
        final AtomicInteger sequence = new AtomicInteger();
        volatile String models = "";
        volatile String state = "ready";
        private final Store store;
        private final ServerSocket listener;
        private final Handler handler;
        private volatile boolean closed;

        Server(Store store, String service, String id, Handler handler) throws IOException {
            this.store = store;
            this.service = service;
            this.id = id;
            this.handler = handler;
            listener = new ServerSocket(freePort(), 600, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        Server register() {
            daemon(() -> {
                while (!closed) {
                    beat();
                    Thread.sleep(1_200);
                }
            });
            return this;
        }

        void beat() {
            store.put("keyed.servers", id, "{\"service\":" + json(service) + ",\"address\":" + json(address())
                    + ",\"zone\":\"biel-a\",\"version\":\"v1\",\"batch_slots\":6,\"state\":\"" + state
                    + "\",\"cold_remaining_ms\":0," + models + "\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}");
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Request request = readRequest(in);
                while (request != null) {
                    String expected = request.headers().get("x-expect-instance");
                    if (expected != null && !expected.equals(id)) {
                        respond(socket, 421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n", new byte[0], request);
                    } else if (!handler.answer(request, socket)) {
                        return;
                    }
                    request = readRequest(in);
                }
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            listener.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception exception) {
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void respond(Socket socket, int status, String headers, byte[] body, Request request) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 " + status + " S\r\nX-Request-Id: " + request.id() + "\r\n" + headers
                + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("inside a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("inside the head");
        }
        return headers;
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("before the last chunk, after " + body.size() + " bytes");
                }
                int length = Integer.parseInt(line.strip(), 16);
                byte[] piece = in.readNBytes(length);
                if (piece.length < length) {
                    throw new EOFException("inside a chunk, after " + (body.size() + piece.length) + " bytes");
                }
                body.write(piece);
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("after " + body.length + " of " + length + " bytes");
            }
            return body;
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        return new Request(words[0], words[1], headers, readBody(in, headers, false));
    }

    record Answer(int status, Map<String, String> headers, byte[] body) {}

    static Answer readAnswer(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("no answer");
        }
        Map<String, String> headers = readHeaders(in);
        return new Answer(Integer.parseInt(line.split(" ")[1]), headers, readBody(in, headers, true));
    }

    private static final AtomicLong IDS = new AtomicLong();

    static String newId() {
        return Long.toHexString(System.nanoTime()) + "-" + IDS.incrementAndGet();
    }

    static byte[] request(String method, String host, String path, String id, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\n" + headers
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            bytes.write(body);
        }
        return bytes.toByteArray();
    }

    /** A configuration with two routes of a plain service, one unsafe and one safe. */
    static String plainConfig(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-order", "/order/", "unsafe", 1) + "," + route("r-state", "/state/", "safe", 2)
                + "],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
                + limits() + tenants + "}";
    }

    static String limits() {
        return "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    }

    private static String route(String name, String prefix, String type, int attempts) {
        return "{\"name\":" + json(name) + ",\"host\":\"a.example\",\"path_prefix\":" + json(prefix) + ",\"type\":" + json(type)
                + ",\"timeout_ms\":15000,\"target_latency_ms\":5000,\"priority\":1,\"service\":\"app\",\"attempts\":" + attempts
                + ",\"public\":true}";
    }
}
