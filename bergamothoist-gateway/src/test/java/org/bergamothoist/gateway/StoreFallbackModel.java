package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/**
 * Several daemons before one store that comes back from older copies, in virtual time and without a
 * network. Calls are lost, late or carried out late; daemons freeze and restart; the operator and
 * the targets write, and write again what a copy lacks. All draws depend on the seed only.
 */
final class StoreFallbackModel {

    static final String CONFIGURATION_KEY = "configuration";

    /** Time within which the operator and targets write again what a copy lacks. */
    private static final int REWRITE_MILLISECONDS = 2_000;

    private static final Duration RUN = Duration.ofSeconds(40);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final int LATENCY_MILLISECONDS = 10;
    private static final int DAEMONS = 4;
    private static final int TARGETS = 6;
    private static final List<String> MODELS = List.of("model-a", "model-b");

    final VirtualTimeScheduler time = new VirtualTimeScheduler();
    final Random random;
    final Fault fault;
    final EraStoreModel store;
    private final List<String> trace = new ArrayList<>();
    final StoreFallbackInvariants invariants = new StoreFallbackInvariants(trace);
    private final List<StoreFallbackDaemon> daemons = new ArrayList<>();
    private final Map<String, Truth> truths = new LinkedHashMap<>();
    private final List<StrayAppend> strayAppends = new ArrayList<>();
    private final Instant ordersFrom;
    private List<String> candidates = List.of();
    private boolean ordersWanted;
    private int returns;

    /** A fault that the code under test does not have, put in by the test's wrappers. */
    enum Fault {
        NONE,
        NUMBERS_FROM_OFFSETS_ALONE,
        HOLDER_IGNORES_LATER_ERA,
        APPEND_OF_EARLIER_ERA_CONFIRMED,
        FOLLOWER_GOES_ON,
        MIRROR_ORDERS_BY_OFFSET_ALONE,
        LISTING_DELETES_WHAT_THE_COPY_LACKS,
        EMPTY_LOG_TAKEN_OVER_AT_ONCE
    }

    /**
     * The newest record that a writer has written, whether the store has it or not.
     *
     * @param value empty for a tombstone
     */
    record Truth(Feed feed, String key, Optional<Object> value) {}

    /** A registration; the state number rises with each change, the report number always. */
    record Registration(String id, long startedAt, long report, int state, boolean leaving)
            implements Comparable<Registration> {

        static Registration parse(String id, String text) {
            String[] parts = text.split(",");
            return new Registration(
                    id,
                    Long.parseLong(parts[0]),
                    Long.parseLong(parts[1]),
                    Integer.parseInt(parts[2]),
                    Boolean.parseBoolean(parts[3]));
        }

        @Override
        public int compareTo(Registration other) {
            int byStart = Long.compare(startedAt, other.startedAt);
            return byStart != 0 ? byStart : Long.compare(report, other.report);
        }

        @Override
        public String toString() {
            return startedAt + "," + report + "," + state + "," + leaving;
        }
    }

    private record StrayAppend(
            StoreModelClient.Call call, EraStoreModel.Reply reply, Instant expires) {}

    /**
     * Creates a model.
     *
     * @param announcing whether the store announces its era
     */
    StoreFallbackModel(long seed, boolean announcing, Fault fault) {
        this.random = new Random(seed);
        this.fault = fault;
        this.store = new EraStoreModel(time, random, announcing);
        this.ordersFrom = time.instant().plus(drawn(2_000, 12_000));
        write(Feed.OPERATOR, CONFIGURATION_KEY, Optional.of(1));
        for (int index = 0; index < TARGETS; index++) {
            targetLater("target-" + index, random.nextInt(2_000));
        }
        for (int index = 0; index < DAEMONS; index++) {
            startDaemon("daemon-" + index, random.nextInt(2_000));
        }
        store.addChangeListener(this::carryOutStrayAppend);
        operatorLater();
        chooseCandidates();
        freezeLater();
        restartLater();
        time.schedule(Duration.ofMillis(5_000 + random.nextInt(14_000)), this::leave);
    }

    private Duration drawn(int minimum, int maximum) {
        return Duration.ofMillis(minimum + random.nextInt(maximum - minimum));
    }

    /** Runs the model. */
    StoreFallbackInvariants run() {
        Instant end = time.instant().plus(RUN);
        while (time.instant().isBefore(end)) {
            time.advance(STEP);
            if (!store.isAway()) {
                daemons.forEach(StoreFallbackDaemon::checkSeen);
            }
        }
        return invariants;
    }

    int returns() {
        return returns;
    }

    void trace(String line) {
        trace.add(time.instant() + " " + line);
    }

    // The store.

    private void leave() {
        store.leave();
        trace("store: away");
        time.schedule(drawn(50, 2_500), this::comeBack);
    }

    private void comeBack() {
        trace("store: " + store.returnFromCopy(drawn(0, 10_000)));
        returns++;
        truths.values().forEach(truth -> rewriteLater(truth.feed(), truth.key()));
        if (returns < 4) {
            // Often within the age of the next copy, so that lost records come back.
            time.schedule(drawn(200, 9_000), this::leave);
        }
    }

    private void rewriteLater(Feed feed, String key) {
        time.schedule(Duration.ofMillis(random.nextInt(REWRITE_MILLISECONDS)), () -> rewrite(key));
    }

    private void rewrite(String key) {
        Truth truth = truths.get(key);
        EraStoreModel.Entry newest = store.newest(truth.feed().name()).get(key);
        boolean held =
                newest == null
                        ? truth.value().isEmpty()
                        : newest.value().map(Object::toString).equals(text(truth));
        if (store.isAway() || held) {
            return;
        }
        if (truth.value().isPresent() && truth.value().get() instanceof Registration registration) {
            register(
                    registration.id(),
                    registration.startedAt(),
                    registration.report() + 1,
                    registration.state(),
                    registration.leaving());
        } else {
            write(truth.feed(), key, truth.value());
        }
    }

    private static Optional<String> text(Truth truth) {
        return truth.value().map(Object::toString);
    }

    private void write(Feed feed, String key, Optional<Object> value) {
        truths.put(key, new Truth(feed, key, value));
        if (!store.isAway()) {
            store.put(feed.name(), key, value);
            trace(key + ": writes " + value);
        }
    }

    Truth truth(String key) {
        return truths.get(key);
    }

    // The operator and the targets.

    private void operatorLater() {
        time.schedule(
                drawn(200, 2_500),
                () -> {
                    operatorLater();
                    String key =
                            random.nextBoolean()
                                    ? CONFIGURATION_KEY
                                    : MODELS.get(random.nextInt(MODELS.size()));
                    Truth before = truths.get(key);
                    int version = before == null ? 0 : (Integer) before.value().orElseThrow();
                    if (!store.isAway()) {
                        write(Feed.OPERATOR, key, Optional.of(version + 1));
                    }
                });
    }

    private void targetLater(String id, int milliseconds) {
        time.schedule(Duration.ofMillis(milliseconds), () -> target(id));
    }

    /** Lets a target start, renew its registration, announce that it leaves, or leave. */
    private void target(String id) {
        targetLater(id, 900 + random.nextInt(400));
        if (store.isAway()) {
            return;
        }
        Truth truth = truths.get(id);
        if (truth == null || truth.value().isEmpty()) {
            if (truth == null || random.nextInt(3) == 0) {
                register(id, time.instant().toEpochMilli(), 0, 0, false);
            }
            return;
        }
        Registration known = (Registration) truth.value().get();
        int draw = random.nextInt(20);
        if (draw == 0 || known.leaving() && draw < 6) {
            write(Feed.TARGETS, id, Optional.empty());
        } else if (draw == 1 && !known.leaving()) {
            register(id, known.startedAt(), known.report() + 1, known.state() + 1, true);
        } else if (draw == 2) {
            register(id, time.instant().toEpochMilli(), 0, 0, false);
        } else {
            register(id, known.startedAt(), known.report() + 1, known.state(), known.leaving());
        }
    }

    private void register(String id, long startedAt, long report, int state, boolean leaving) {
        write(
                Feed.TARGETS,
                id,
                Optional.of(new Registration(id, startedAt, report, state, leaving)));
    }

    // The daemons.

    private void startDaemon(String name, int milliseconds) {
        time.schedule(
                Duration.ofMillis(milliseconds),
                () -> {
                    daemons.removeIf(daemon -> daemon.name().equals(name));
                    daemons.add(new StoreFallbackDaemon(name, this));
                });
    }

    private void restartLater() {
        time.schedule(
                drawn(500, 8_000),
                () -> {
                    restartLater();
                    draw().ifPresent(this::restart);
                });
    }

    private void restart(StoreFallbackDaemon daemon) {
        trace(daemon.name() + ": stops");
        daemon.stop();
        daemons.remove(daemon);
        startDaemon(daemon.name(), random.nextInt(1_500));
    }

    private void freezeLater() {
        time.schedule(
                drawn(300, 6_000),
                () -> {
                    freezeLater();
                    draw().ifPresent(daemon -> daemon.freeze(drawn(50, 6_000)));
                });
    }

    /** Returns a daemon, half of the time the last holder of the lease. */
    private Optional<StoreFallbackDaemon> draw() {
        List<StoreFallbackDaemon> holders =
                daemons.stream().filter(StoreFallbackDaemon::isHolder).toList();
        List<StoreFallbackDaemon> from =
                holders.isEmpty() || random.nextBoolean() ? daemons : holders;
        return from.isEmpty()
                ? Optional.empty()
                : Optional.of(from.get(random.nextInt(from.size())));
    }

    /** Returns another daemon that answers, if one does. */
    Optional<StoreFallbackDaemon> otherThan(StoreFallbackDaemon asking) {
        List<StoreFallbackDaemon> others =
                daemons.stream().filter(other -> other != asking && !other.isFrozen()).toList();
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(others.get(random.nextInt(others.size())));
    }

    /** Returns the run of a daemon, if it runs. */
    Optional<StoreFallbackDaemon> daemon(String name) {
        return daemons.stream().filter(daemon -> daemon.name().equals(name)).findFirst();
    }

    /** Draws who takes itself for the daemon that is to acquire the lease, at times two. */
    private void chooseCandidates() {
        time.schedule(drawn(500, 5_000), this::chooseCandidates);
        ordersWanted = !time.instant().isBefore(ordersFrom) && random.nextInt(6) > 0;
        String first = "daemon-" + random.nextInt(DAEMONS);
        String second = "daemon-" + random.nextInt(DAEMONS);
        candidates = random.nextInt(3) == 0 ? List.of(first, second) : List.of(first);
    }

    boolean areOrdersWanted() {
        return ordersWanted;
    }

    boolean isCandidate(String daemon) {
        return candidates.contains(daemon);
    }

    // The network.

    /** Carries a call of a daemon; the daemon is told of faults up to when they excuse it. */
    CompletableFuture<EraStoreModel.Response> send(
            StoreFallbackDaemon daemon, StoreModelClient.Call call, String topic, Duration wait) {
        CompletableFuture<EraStoreModel.Response> answer = new CompletableFuture<>();
        Duration timeout = wait.plus(CALL_TIMEOUT);
        Instant timesOutAt = time.instant().plus(timeout);
        daemon.schedule(
                timeout, () -> answer.completeExceptionally(new IllegalStateException("timeout")));
        int draw = random.nextInt(call.end().isPresent() ? 25 : 100);
        EraStoreModel.Reply reply =
                new NetworkReply(daemon, topic, timesOutAt, draw == 1 || draw == 2, answer);
        if (draw == 0) {
            daemon.excuse(topic, timesOutAt);
            if (call.end().isPresent()) {
                Instant expires = time.instant().plus(drawn(500, 10_000));
                strayAppends.add(new StrayAppend(call, reply, expires));
            }
            return answer;
        }
        Duration late = draw == 3 ? drawn(100, 6_000) : drawn(1, LATENCY_MILLISECONDS);
        if (draw == 3) {
            daemon.excuse(topic, timesOutAt);
        }
        time.schedule(late, () -> call.handler().accept(reply));
        return answer;
    }

    /** Carries out an append that is on its way if its condition holds, some of the time. */
    private void carryOutStrayAppend() {
        for (Iterator<StrayAppend> all = strayAppends.iterator(); all.hasNext(); ) {
            StrayAppend stray = all.next();
            boolean holds =
                    !store.isAway()
                            && stray.call().end().getAsLong()
                                    == store.end(StoreModelClient.LEASE_TOPIC);
            if (stray.expires().isBefore(time.instant())) {
                all.remove();
            } else if (holds && random.nextInt(3) == 0) {
                all.remove();
                time.schedule(drawn(1, 400), () -> carryOut(stray));
            }
        }
    }

    private void carryOut(StrayAppend stray) {
        trace("store: late append at " + stray.call().end());
        stray.call().handler().accept(stray.reply());
    }

    /** The way back of an answer, on which it may be lost or late. */
    private final class NetworkReply implements EraStoreModel.Reply {

        private final StoreFallbackDaemon daemon;
        private final String topic;
        private final Instant timesOutAt;
        private final boolean faulty;
        private final CompletableFuture<EraStoreModel.Response> answer;

        NetworkReply(
                StoreFallbackDaemon daemon,
                String topic,
                Instant timesOutAt,
                boolean faulty,
                CompletableFuture<EraStoreModel.Response> answer) {
            this.daemon = daemon;
            this.topic = topic;
            this.timesOutAt = timesOutAt;
            this.faulty = faulty;
            this.answer = answer;
        }

        @Override
        public void respond(EraStoreModel.Response response) {
            if (!faulty) {
                daemon.deliver(drawn(1, LATENCY_MILLISECONDS), () -> answer.complete(response));
                return;
            }
            daemon.excuse(topic, timesOutAt);
            if (random.nextInt(3) > 0) {
                daemon.deliver(drawn(50, 1_500), () -> answer.complete(response));
            }
        }

        @Override
        public void reset() {
            daemon.deliver(
                    drawn(1, LATENCY_MILLISECONDS),
                    () -> answer.completeExceptionally(new IllegalStateException("reset")));
        }

        @Override
        public void remainSilent() {
            daemon.excuse(topic, timesOutAt);
        }
    }
}
