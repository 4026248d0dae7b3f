package org.bergamothoist.cli.demo;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.standin.EngineCounters;
import org.bergamothoist.standin.GeneratedText;
import org.bergamothoist.standin.PlatformStandIn;
import org.bergamothoist.standin.client.ExampleKeys;

/** Measures the path from caller to engine over HTTP, with and without a daemon between them. */
public final class RealPathMeasurement {

    private static final int DAEMONS = 6;
    private static final int PAIRS = 150;
    private static final int WARM_UP_PAIRS = 30;
    private static final int TOKENS = 8;
    private static final int CALLERS = 48;
    private static final Duration LOAD_TIME = Duration.ofSeconds(8);
    private static final int PREFIXES = 40;
    private static final int PREFIX_BLOCKS = 8;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final ExampleDeployment example;
    private final long seed;
    private final Consumer<String> progress;
    private final StreamTimer timer = new StreamTimer();
    private final Random random;
    private PlatformStandIn platform;
    private LocalDeployment deployment;

    /** Prepares a measurement; limits of the sheet are raised so that they refuse nothing. */
    public RealPathMeasurement(ExampleDeployment example, long seed, Consumer<String> progress) {
        this.example = withoutLimits(example);
        this.seed = seed;
        this.progress = progress;
        this.random = new Random(seed);
    }

    private record Latencies(List<Long> first, List<Long> gaps) {

        void add(StreamTimer.Times times) {
            first.add(times.firstNanoseconds());
            gaps.addAll(times.gapsNanoseconds());
        }
    }

    private record Load(double seconds, double coreSeconds, long requests, long tokens) {}

    /** Runs the measurement, once. */
    public RealPathResult measure() throws Exception {
        InstantSource clock = InstantSource.system();
        platform = PlatformStandIn.start(example.sizes(), example.platform(seed), clock);
        deployment = new LocalDeployment(platform, example);
        try (LocalDeployment closing = deployment) {
            for (int index = 0; index < DAEMONS; index++) {
                closing.startDaemon(index);
            }
            for (DaemonInstance daemon : closing.daemons()) {
                daemon.ready().toCompletableFuture().get(1, TimeUnit.MINUTES);
            }
            new Offices(example, clock).submitWholeSheet(daemon(0));
            return measureRunning();
        }
    }

    private RealPathResult measureRunning() throws Exception {
        progress.accept("measuring single streams");
        Latencies direct = new Latencies(new ArrayList<>(), new ArrayList<>());
        Latencies routed = new Latencies(new ArrayList<>(), new ArrayList<>());
        for (int pair = -WARM_UP_PAIRS; pair < PAIRS; pair++) {
            StreamTimer.Times without = direct(question());
            StreamTimer.Times with = routed(daemon(Math.floorMod(pair, DAEMONS)), question());
            if (pair >= 0) {
                direct.add(without);
                routed.add(with);
            }
        }
        progress.accept("measuring " + CALLERS + " concurrent callers");
        Load load = load();
        progress.accept("measuring a restart");
        List<String> prefixes = new ArrayList<>();
        for (int index = 0; index < PREFIXES; index++) {
            prefixes.add(prefix(index));
            routed(daemon(index % DAEMONS), prefixes.get(index) + question());
        }
        DaemonInstance killed = daemon(0);
        deployment.killDaemon(killed);
        long begin = System.nanoTime();
        DaemonInstance restarted = deployment.restartDaemon(killed);
        answeredAtLast(restarted);
        long restart = System.nanoTime() - begin;
        double afterRestart = hitRate(restarted, prefixes);
        double undisturbed = hitRate(daemon(0), prefixes);
        return new RealPathResult(
                percentiles(direct.first()),
                percentiles(routed.first()),
                percentiles(direct.gaps()),
                percentiles(routed.gaps()),
                load.requests() / load.seconds(),
                load.tokens() / load.seconds(),
                load.requests() / load.coreSeconds(),
                load.tokens() / load.coreSeconds(),
                TimeUnit.NANOSECONDS.toMillis(restart),
                afterRestart,
                undisturbed);
    }

    private Load load() throws Exception {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        LongAdder requests = new LongAdder();
        LongAdder tokens = new LongAdder();
        List<DaemonInstance> daemons = deployment.daemons();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        List<Future<?>> ends = new ArrayList<>();
        long cores = system.getProcessCpuTime();
        long begin = System.nanoTime();
        long end = begin + LOAD_TIME.toNanos();
        for (int index = 0; index < CALLERS; index++) {
            DaemonInstance daemon = daemons.get(index % DAEMONS);
            ends.add(
                    callers.submit(
                            () -> {
                                while (System.nanoTime() < end) {
                                    tokens.add(routed(daemon, question()).pieces());
                                    requests.increment();
                                }
                                return null;
                            }));
        }
        for (Future<?> caller : ends) {
            caller.get(1, TimeUnit.MINUTES);
        }
        callers.shutdown();
        return new Load(
                (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND,
                (system.getProcessCpuTime() - cores) / NANOSECONDS_PER_SECOND,
                requests.sum(),
                tokens.sum());
    }

    private double hitRate(DaemonInstance daemon, List<String> prefixes) throws Exception {
        EngineCounters before = platform.counters();
        for (String prefix : prefixes) {
            routed(daemon, prefix + question());
        }
        return platform.counters().minus(before).hitRate();
    }

    private void answeredAtLast(DaemonInstance daemon) throws Exception {
        long limit = System.nanoTime() + Duration.ofMinutes(1).toNanos();
        while (System.nanoTime() < limit) {
            try {
                routed(daemon, question());
                return;
            } catch (IllegalStateException refused) {
                Thread.sleep(5);
            }
        }
        throw new IllegalStateException("restarted daemon does not answer");
    }

    private StreamTimer.Times direct(String prompt) throws Exception {
        int engine = random.nextInt(platform.engines().size());
        Map<String, Object> body = body(prompt);
        body.put("max_tokens", TOKENS);
        body.put("request_id", "direct");
        body.put("attempt", 1);
        body.put("organisation", organisation());
        body.put("continuation", "");
        body.put("block_hashes", List.of());
        body.put("priority", 5);
        body.put("cache_salt", "");
        body.put("stream", true);
        int port = platform.engines().get(engine).port();
        return timer.send(url(PlatformStandIn.HOST + ":" + port), "", body);
    }

    private StreamTimer.Times routed(DaemonInstance daemon, String prompt) throws Exception {
        Map<String, Object> body = body(prompt);
        body.put("maximum_tokens", TOKENS);
        String key = ExampleKeys.callerKey(organisation());
        return timer.send(url(daemon.settings().callerAddress().toString()), key, body);
    }

    private Map<String, Object> body(String prompt) {
        ModelKey model = example.models().get(0);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("model", model.model());
        body.put("adapter", model.adapter());
        body.put("version", model.version());
        body.put("prompt", prompt);
        return body;
    }

    private static String url(String address) {
        return "http://" + address + "/v1/completions";
    }

    private DaemonInstance daemon(int index) {
        return deployment.daemons().get(index);
    }

    private String organisation() {
        return example.sheet().get(0).organisation().value();
    }

    /** Returns a prompt shorter than a block, so that no cache has a part in single streams. */
    private synchronized String question() {
        return GeneratedText.of("question " + random.nextLong()).slice(0, 100);
    }

    private static String prefix(int index) {
        int length = PREFIX_BLOCKS * ExampleDeployment.BLOCK_TOKENS * Prompt.BYTES_PER_TOKEN;
        return GeneratedText.of("history " + index).slice(0, length);
    }

    private static ExampleDeployment withoutLimits(ExampleDeployment example) {
        List<OrganisationEntry> sheet =
                example.sheet().stream()
                        .map(
                                entry ->
                                        new OrganisationEntry(
                                                entry.organisation(),
                                                entry.baseVersion(),
                                                entry.keyDigest(),
                                                entry.models(),
                                                entry.services(),
                                                new OrganisationLimits(100_000, 10_000, 1)))
                        .toList();
        return new ExampleDeployment(
                example.sizes(), sheet, example.operators(), example.weightings());
    }

    private static RealPathResult.Percentiles percentiles(List<Long> nanoseconds) {
        long[] sorted = nanoseconds.stream().mapToLong(Long::longValue).sorted().toArray();
        return new RealPathResult.Percentiles(
                percentile(sorted, 0.50), percentile(sorted, 0.95), percentile(sorted, 0.99));
    }

    private static double percentile(long[] sorted, double share) {
        int index = (int) Math.ceil(share * sorted.length) - 1;
        return sorted[Math.max(0, index)] / NANOSECONDS_PER_MILLISECOND;
    }
}
