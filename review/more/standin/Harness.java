import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What a case needs: the record, a temporary folder, and the processes that it ends with it. */
final class Harness implements AutoCloseable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final Path root;
    final Path directory;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<AutoCloseable> opened = new ArrayList<>();

    /** A case; returns the exit code. */
    @FunctionalInterface
    interface Case {

        int run(Harness harness) throws Exception;
    }

    private Harness(Path root, Path record) throws IOException {
        this.root = root;
        this.directory = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(record));
    }

    /** Runs a case with the arguments ROOT RECORD, and exits with its result. */
    static void main(String[] arguments, Case tried) throws Exception {
        int result = COULD_NOT_RUN;
        Harness harness = new Harness(Path.of(arguments[0]), Path.of(arguments[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(harness::closeAll));
        try {
            harness.log("trouble=%s", harness.trouble ? "1" : "0");
            result = tried.run(harness);
        } catch (Exception exception) {
            harness.log("the case could not run: %s", exception);
        }
        harness.log("result: %d (0 held, 1 broken, 2 could not run)", result);
        System.exit(result);
    }

    synchronized void log(String format, Object... values) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        record.printf(Locale.ROOT, "%8.3f s  ", seconds);
        record.printf(Locale.ROOT, format, values);
        record.println();
        record.flush();
    }

    /** Closes something at the end of the case. */
    synchronized <T extends AutoCloseable> T keep(T closeable) {
        opened.add(0, closeable);
        return closeable;
    }

    Gateway gateway(String name, String zone, Store store) {
        return keep(new Gateway(root, directory, name, zone, store));
    }

    /** Starts daemons in turn of three zones, and waits until they are ready. */
    List<Gateway> gateways(int count, Store store) throws Exception {
        List<Gateway> gateways = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String zone = "zone-" + (char) ('a' + index % 3);
            gateways.add(gateway("edge-" + zone + "-" + (index / 3 + 1), zone, store));
        }
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
            log("%s is ready, process %d", gateway.name, gateway.pid());
        }
        return gateways;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private synchronized void closeAll() {
        for (AutoCloseable closeable : opened) {
            try {
                closeable.close();
            } catch (Exception exception) {
                log("not closed: %s", exception);
            }
        }
        opened.clear();
        if (System.getenv("REVIEW_KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException exception) {
            log("not deleted: %s", exception);
        }
    }

    @Override
    public void close() {
        closeAll();
    }
}
