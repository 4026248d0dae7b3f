package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.OutdatedAnswerException;
import org.bergamothoist.core.gossip.CallerAssignment;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.state.CallerDaemons;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * The feeds of all daemons of a fleet in virtual time, with a store and messages without sockets.
 */
final class StoreFeedsModel {

    static final Duration LIMIT = Duration.ofMillis(2_000);

    private static final int DATA_CENTRES = 4;
    private static final int SERVERS = 63;
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(470);
    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final String CONTENT = "x".repeat(200);

    final VirtualTimeScheduler time = new VirtualTimeScheduler();
    final List<Daemon> daemons = new ArrayList<>();
    private final Map<Feed, List<FeedRecord>> store = new EnumMap<>(Feed.class);
    private final List<Runnable> waiting = new ArrayList<>();
    private final Map<String, Instant> writes = new LinkedHashMap<>();
    private final Random random = new Random(7);
    private boolean writing;
    private long era;
    private long sequence;

    /** Creates a fleet, a tenth of which has large VMs, with four data centres. */
    StoreFeedsModel(int size, int storeReaders) {
        for (Feed feed : Feed.values()) {
            store.put(feed, new ArrayList<>());
        }
        for (int index = 0; index < size; index++) {
            daemons.add(new Daemon(index, storeReaders));
        }
        for (int server = 0; server < SERVERS; server++) {
            heartbeatLater("server-" + server, random.nextInt((int) HEARTBEAT.toMillis()));
        }
        write();
        daemons.forEach(Daemon::start);
    }

    private void heartbeatLater(String server, long milliseconds) {
        time.schedule(
                Duration.ofMillis(milliseconds),
                () -> {
                    append(Feed.TARGETS, server, state(server));
                    heartbeatLater(server, HEARTBEAT.toMillis());
                });
    }

    private String state(String server) {
        return writes.keySet().stream()
                .filter(write -> write.startsWith(server + "@"))
                .reduce("", (first, second) -> second);
    }

    /** Writes a record of operators and a changed registration, whose arrivals are measured. */
    private void write() {
        time.schedule(WRITE_INTERVAL, this::write);
        if (writing) {
            String version = "version@" + sequence++;
            String server = "server-" + sequence % SERVERS;
            String change = server + "@" + sequence++;
            writes.put(version, time.instant());
            writes.put(change, time.instant());
            append(Feed.OPERATOR, version, version);
            append(Feed.TARGETS, server, change);
        }
    }

    private void append(Feed feed, String key, String state) {
        byte[] value = (state + "|" + sequence++ + CONTENT).getBytes(StandardCharsets.UTF_8);
        List<FeedRecord> records = store.get(feed);
        LogPosition position = new LogPosition(era, records.size());
        records.add(new FeedRecord(key, position, Optional.of(value)));
        wakeWaiting();
    }

    private void wakeWaiting() {
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    private static String stateOf(FeedRecord record) {
        String value = new String(record.value().orElseThrow(), StandardCharsets.UTF_8);
        return value.substring(0, value.indexOf('|'));
    }

    /** Lets the daemons start, and counts from then on. */
    void settle() {
        time.advanceMillis(10_000);
        daemons.forEach(daemon -> daemon.calls = daemon.bytes = daemon.messages = 0);
    }

    /** Has the store lose the newest records of each feed, and give out their offsets again. */
    void fallBack(int lostRecords) {
        era++;
        store.values()
                .forEach(
                        records -> {
                            int kept = Math.max(0, records.size() - lostRecords);
                            records.subList(kept, records.size()).clear();
                            records.replaceAll(
                                    record ->
                                            new FeedRecord(
                                                    record.key(),
                                                    new LogPosition(era, record.offset()),
                                                    record.value()));
                        });
        wakeWaiting();
    }

    /** Stops writing the records whose arrivals are measured, until all have them. */
    void pauseWrites() {
        writing = false;
        time.advance(LIMIT);
    }

    /** Begins to write the records whose arrivals are measured. */
    void beginWrites() {
        writing = true;
    }

    /** Ends the writes, and waits for longer than the limit. */
    void finish() {
        writing = false;
        time.advance(LIMIT.multipliedBy(2));
    }

    /** Returns the times from writes to their arrivals in milliseconds, sorted. */
    long[] ages(Predicate<Daemon> counted) {
        return daemons.stream()
                .filter(daemon -> counted.test(daemon) && !daemon.dead)
                .flatMapToLong(
                        daemon -> writes.entrySet().stream().mapToLong(write -> age(daemon, write)))
                .sorted()
                .toArray();
    }

    private static long age(Daemon daemon, Map.Entry<String, Instant> write) {
        Instant arrived = daemon.arrivals.getOrDefault(write.getKey(), Instant.MAX);
        return arrived.equals(Instant.MAX)
                ? Long.MAX_VALUE
                : Duration.between(write.getValue(), arrived).toMillis();
    }

    LongStream each(ToLongFunction<Daemon> value) {
        return daemons.stream().mapToLong(value);
    }

    /** A daemon with its feeds, and the faults that it has. */
    final class Daemon implements FeedSource, FeedMirror.FeedListener {

        boolean dead;
        boolean cutFromStore;
        boolean cutFromPeers;
        Duration storeDelay = Duration.ZERO;
        long calls;
        long bytes;
        long messages;
        final StoreFeeds feeds;
        final MetricRegistry metrics = new MetricRegistry();
        private final CallerAssignment.Candidate self;
        private final ClusterView clusterView;
        private final CallerDaemons callerDaemons;
        private final Map<String, Instant> arrivals = new LinkedHashMap<>();
        private long reports;
        private long knownEra;

        private Daemon(int index, int storeReaders) {
            String name = "daemon-%03d".formatted(index);
            String dataCentre = "dc-" + index % DATA_CENTRES;
            self =
                    new CallerAssignment.Candidate(
                            name,
                            dataCentre,
                            name + ":1",
                            String.valueOf(index),
                            index % 10 == 0 ? 1.5 : 0.36);
            clusterView = ClusterView.empty(new DaemonId(name, 1), time, LIMIT);
            callerDaemons =
                    new CallerDaemons(
                            () -> self,
                            () -> true,
                            clusterView.daemons(),
                            time,
                            (kind, subject, inputs, outcome) -> {});
            PauseDetector pauses = new PauseDetector(Duration.ofDays(1), time, pause -> {});
            feeds =
                    new StoreFeeds(
                            self,
                            FeedPacesTest.settings(2_000, 2_000, storeReaders),
                            this,
                            this::callPeer,
                            clusterView,
                            callerDaemons,
                            () -> true,
                            () -> false,
                            () -> true,
                            () -> true,
                            new FeedFreshness(LIMIT, pauses, time),
                            pauses,
                            this,
                            time,
                            time,
                            random::nextDouble,
                            metrics,
                            (kind, subject, inputs, outcome) -> {});
        }

        private void start() {
            time.schedule(
                    Duration.ofMillis(random.nextInt(1_000)),
                    () -> {
                        feeds.start();
                        feeds.startDaemons();
                        report();
                    });
        }

        private void report() {
            Duration interval = Duration.ofMillis(callerDaemons.isActive() ? 1_000 : 5_000);
            DaemonReport report =
                    new DaemonReport(
                            new DaemonId(self.name(), 1),
                            ++reports,
                            self.callerAddress(),
                            self.peerAddress(),
                            self.dataCentre(),
                            true,
                            feeds.isStoreReachable(),
                            false,
                            1,
                            self.capacity(),
                            interval,
                            true,
                            true,
                            List.of(),
                            List.of(),
                            DaemonReport.Utilisation.NONE,
                            feeds.isReading());
            if (!dead && !cutFromPeers) {
                daemons.stream()
                        .filter(other -> other != this && !other.dead && !other.cutFromPeers)
                        .forEach(other -> other.clusterView.daemons().update(report));
            }
            time.schedule(interval, this::report);
        }

        @Override
        public void onRecord(Feed feed, FeedRecord record) {
            arrivals.putIfAbsent(stateOf(record), time.instant());
        }

        @Override
        public boolean isRenewal(Feed feed, FeedRecord before, FeedRecord record) {
            return feed == Feed.TARGETS && stateOf(before).equals(stateOf(record));
        }

        @Override
        public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
            CompletableFuture<Page> answer = new CompletableFuture<>();
            if (startCall(answer, wait)) {
                Instant until = time.instant().plus(wait);
                long sentIn = era;
                time.schedule(LATENCY, () -> answerRead(feed, from, until, sentIn, answer));
            }
            return answer;
        }

        /** Counts a call; returns whether the store gets it. */
        private boolean startCall(CompletableFuture<?> answer, Duration wait) {
            if (dead) {
                return false;
            }
            calls++;
            if (cutFromStore) {
                time.schedule(
                        wait.plus(CALL_TIMEOUT),
                        () -> answer.completeExceptionally(new IllegalStateException("no answer")));
            }
            return !cutFromStore;
        }

        private void answerRead(
                Feed feed, long from, Instant until, long sentIn, CompletableFuture<Page> answer) {
            if (sentIn != era) {
                deliver(
                        List.of(),
                        () ->
                                answer.completeExceptionally(
                                        new OutdatedAnswerException("sent in era " + sentIn)));
                return;
            }
            List<FeedRecord> all = store.get(feed);
            if (all.size() <= from && time.instant().isBefore(until)) {
                Runnable again = () -> answerRead(feed, from, until, sentIn, answer);
                waiting.add(again);
                time.schedule(
                        Duration.between(time.instant(), until),
                        () -> {
                            if (waiting.remove(again)) {
                                again.run();
                            }
                        });
                return;
            }
            List<FeedRecord> page = List.copyOf(all.subList((int) from, all.size()));
            LogPosition next = new LogPosition(era, from + page.size());
            deliver(page, () -> answer.complete(new Page(page, next)));
        }

        @Override
        public CompletionStage<Listing> list(Feed feed) {
            CompletableFuture<Listing> answer = new CompletableFuture<>();
            if (startCall(answer, Duration.ZERO)) {
                Map<String, FeedRecord> newest = new LinkedHashMap<>();
                store.get(feed).forEach(record -> newest.put(record.key(), record));
                List<FeedRecord> records = List.copyOf(newest.values());
                LogPosition end = new LogPosition(era, store.get(feed).size());
                deliver(records, () -> answer.complete(new Listing(records, end)));
            }
            return answer;
        }

        private void deliver(List<FeedRecord> records, Runnable completion) {
            bytes += records.stream().mapToLong(record -> record.value().get().length).sum();
            messages += 2;
            long answerEra = era;
            time.schedule(
                    LATENCY.plus(storeDelay),
                    () -> runUnlessDead(() -> handle(answerEra, completion)));
        }

        private void handle(long answerEra, Runnable completion) {
            if (answerEra > knownEra) {
                knownEra = answerEra;
                feeds.onStoreFallback(answerEra);
            }
            completion.run();
        }

        private void runUnlessDead(Runnable completion) {
            if (!dead) {
                completion.run();
            }
        }

        private CompletionStage<HttpAnswer> callPeer(HttpCaller.Call call) {
            Daemon peer = daemons.get(Integer.parseInt(call.address()));
            CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
            time.schedule(
                    call.timeout(),
                    () ->
                            runUnlessDead(
                                    () ->
                                            answer.completeExceptionally(
                                                    new IllegalStateException("no answer"))));
            if (!dead && !peer.dead && !peer.cutFromPeers && !cutFromPeers) {
                time.schedule(LATENCY, () -> peer.answerPeer(this, call.body(), answer));
            }
            return answer;
        }

        private void answerPeer(Daemon asking, byte[] body, CompletableFuture<HttpAnswer> answer) {
            byte[] response = feeds.handleRequest(body).body();
            for (Daemon side : Set.of(this, asking)) {
                side.bytes += body.length + response.length;
                side.messages += 2;
            }
            HttpAnswer sent = new HttpAnswer(200, EmptyHttpHeaders.INSTANCE, response);
            time.schedule(LATENCY, () -> asking.runUnlessDead(() -> answer.complete(sent)));
        }
    }

    /** Returns the daemons that read the store. */
    Set<Daemon> readers() {
        Set<Daemon> reading = new HashSet<>(daemons);
        reading.removeIf(daemon -> daemon.dead || !daemon.feeds.isReading());
        return reading;
    }
}
