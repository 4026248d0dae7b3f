package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.feed.StoreEra;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.lease.LeaseTopic;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.StoreFallbackInvariants.Kind;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.control.RecordRelay;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.state.ClusterViewUpdater;
import org.bergamothoist.gateway.state.MirroringFeedObserver;

/** One run of a daemon's lease and feeds before the model's store, wired as in a whole daemon. */
final class StoreFallbackDaemon implements Scheduler {

    private static final Duration LIMIT = Duration.ofMillis(2_000);
    private static final Duration PLANNING_INTERVAL = Duration.ofMillis(100);
    private static final Duration LAPSE_CHECK = Duration.ofMillis(250);
    private static final Duration RELAY_INTERVAL = Duration.ofMillis(300);
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(600);

    /** Maximum pause of a follower after a failed call. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(400);

    /** Time of the calls of a listing with all its pages, and of a step of the checks. */
    private static final Duration TRANSMISSION = Duration.ofMillis(150);

    private static final FeedPaces PACES = new FeedPaces(FeedPacesTest.settings(2_000, 2_000, 4));
    private static final List<Feed> FEEDS = List.of(Feed.OPERATOR, Feed.TARGETS);

    private final String name;
    private final String run;
    private final StoreFallbackModel model;
    private final DecisionLog log;
    private final ClusterView clusterView;
    private final PauseDetector pauses;
    private final ClusterViewUpdater updater;
    private final StoreEra era;
    private final FeedMirror mirror;
    private final FeedFollower operatorFeed;
    private final FeedFollower targetsFeed;
    private final RecordRelay relay;
    private final OrderLease lease;
    private final Map<String, Instant> excusedUntil = new HashMap<>();
    private final Map<String, Long> knownVersions = new HashMap<>();
    private final Map<String, StoreFallbackModel.Registration> knownTargets = new HashMap<>();
    private final Map<String, StoreFallbackModel.Registration> mirrored = new HashMap<>();
    private final Map<String, Instant> knownSince = new HashMap<>();
    private final Set<String> present = new HashSet<>();
    private final Map<String, Instant> withdrawn = new HashMap<>();
    private Instant frozenUntil = Instant.EPOCH;
    private Instant fellBackAt = Instant.EPOCH;
    private boolean answersFirst;
    private boolean stopped;

    StoreFallbackDaemon(String name, StoreFallbackModel model) {
        this.name = name;
        this.run = name + "@" + model.time.instant();
        this.model = model;
        this.log =
                (kind, subject, inputs, outcome) ->
                        model.trace(name + ": " + kind + " " + subject + " " + outcome);
        this.clusterView = ClusterView.empty(new DaemonId(name, 1), model.time, LIMIT);
        this.pauses = new PauseDetector(LAPSE_CHECK.multipliedBy(2), model.time, pause -> {});
        FeedFreshness operators =
                new FeedFreshness(PACES.longestOperatorRead(), pauses, model.time);
        this.updater = createUpdater(operators);
        this.era = new StoreEra(log);
        StoreModelClient client =
                new StoreModelClient(
                        era,
                        model.store,
                        (call, topic, wait) -> model.send(this, call, topic, wait));
        this.mirror = new FeedMirror(new CheckedListener());
        ReplicatedFeeds feeds =
                new ReplicatedFeeds(
                        mirror,
                        operators,
                        new FeedFreshness(PACES.longestTargetsRead(), pauses, model.time));
        FeedFollower.Observer observer =
                new MirroringFeedObserver(feeds, clusterView.targets(), feed -> {}, log);
        this.relay = createRelay(feeds);
        FeedSource source = StoreFaults.feedSource(client, model.fault);
        this.operatorFeed = follower(Feed.OPERATOR, source, observer);
        this.targetsFeed = follower(Feed.TARGETS, source, observer);
        this.lease =
                new OrderLease(
                        name,
                        StoreFaults.leaseTopic(client, model.fault),
                        new NoVersionDates(),
                        StoreFallbackInvariants.LEASE,
                        model.time,
                        log);
        era.addListener((before, after) -> tellLease());
        era.addListener((before, after) -> restartFeeds(after));
        start();
    }

    private ClusterViewUpdater createUpdater(FeedFreshness operators) {
        ConnectionPool pool =
                new ConnectionPool(
                        "targets",
                        null,
                        model.time,
                        new ConnectionPool.Settings(Duration.ZERO, Duration.ZERO, Duration.ZERO),
                        new MetricRegistry(),
                        log,
                        peer -> {},
                        (peer, duration) -> {});
        return new ClusterViewUpdater(
                clusterView,
                new StoreModelDecoder(),
                pool,
                operators,
                model.time,
                new StoreModelDecoder.NoCrashes(),
                log);
    }

    /** Creates a relay that only sends the requests that the model draws. */
    private RecordRelay createRelay(ReplicatedFeeds feeds) {
        return new RecordRelay(
                feeds,
                clusterView,
                this::callPeer,
                () -> false,
                () -> false,
                () -> false,
                this,
                model.time,
                model.random::nextDouble,
                log);
    }

    private FeedFollower follower(Feed feed, FeedSource source, FeedFollower.Observer observer) {
        return new FeedFollower(
                feed,
                source,
                () -> settings(feed),
                this,
                model.time,
                model.random::nextDouble,
                observer);
    }

    private static FeedFollower.PollSettings settings(Feed feed) {
        return feed == Feed.OPERATOR ? PACES.operators() : PACES.targets(true);
    }

    private void start() {
        FEEDS.forEach(feed -> excuse(feed.name(), model.time.instant()));
        execute(
                () -> {
                    model.trace(name + ": starts");
                    operatorFeed.start();
                    targetsFeed.start();
                    checkLapsed();
                    relayAtTimes();
                });
        schedule(Duration.ofMillis(model.random.nextInt(100)), this::plan);
    }

    private record NoVersionDates() implements OrderLease.VersionDates {

        @Override
        public List<LeaseTopic.RequestedVersion> known() {
            return List.of();
        }

        @Override
        public void onRead(List<LeaseTopic.RequestedVersion> versions) {}
    }

    // Reactions to a fallback, and the faults that are put in.

    private void tellLease() {
        boolean ignored =
                model.fault == StoreFallbackModel.Fault.HOLDER_IGNORES_LATER_ERA
                        || model.fault == StoreFallbackModel.Fault.APPEND_OF_EARLIER_ERA_CONFIRMED;
        if (!ignored) {
            lease.onStoreFallback();
        }
    }

    private void restartFeeds(long after) {
        fellBackAt = model.time.instant();
        if (model.fault != StoreFallbackModel.Fault.LISTING_DELETES_WHAT_THE_COPY_LACKS) {
            clusterView.targets().onStoreFallback();
        }
        if (model.fault != StoreFallbackModel.Fault.MIRROR_ORDERS_BY_OFFSET_ALONE) {
            FEEDS.forEach(feed -> mirror.restart(feed, after));
        }
        if (model.fault != StoreFallbackModel.Fault.FOLLOWER_GOES_ON) {
            operatorFeed.restart();
            targetsFeed.restart();
        }
    }

    // The process.

    String name() {
        return name;
    }

    void stop() {
        stopped = true;
    }

    void freeze(Duration duration) {
        if (!isFrozen()) {
            frozenUntil = model.time.instant().plus(duration);
            answersFirst = model.random.nextBoolean();
            model.trace(name + ": frozen until " + frozenUntil);
            FEEDS.forEach(feed -> excuse(feed.name(), frozenUntil));
        }
    }

    boolean isFrozen() {
        return model.time.instant().isBefore(frozenUntil);
    }

    boolean isHolder() {
        return lease.isHolder();
    }

    /** Excuses unseen records of a topic up to a time. */
    void excuse(String topic, Instant until) {
        excusedUntil.merge(topic, until, (a, b) -> a.isAfter(b) ? a : b);
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return model.time.schedule(delay, () -> runUnlessStopped(task, false));
    }

    /** Handles an answer when it has arrived. */
    void deliver(Duration delay, Runnable task) {
        model.time.schedule(delay, () -> runUnlessStopped(task, true));
    }

    private void runUnlessStopped(Runnable task, boolean answer) {
        if (stopped) {
            return;
        }
        if (isFrozen()) {
            Duration order = Duration.ofMillis(answer == answersFirst ? 0 : 1);
            Duration delay = Duration.between(model.time.instant(), frozenUntil).plus(order);
            model.time.schedule(delay, () -> runUnlessStopped(task, answer));
            return;
        }
        task.run();
        checkBeliefs();
    }

    private void checkLapsed() {
        pauses.recordRun();
        updater.removeLapsedTargets();
        schedule(LAPSE_CHECK, this::checkLapsed);
    }

    private void plan() {
        schedule(PLANNING_INTERVAL, this::plan);
        lease.observe();
        if (!model.areOrdersWanted()) {
            return;
        }
        if (lease.isHolder() || model.isCandidate(name)) {
            lease.acquireOrRenew();
            sendOrder();
            schedule(PLANNING_INTERVAL.dividedBy(2), this::sendOrder);
        } else if (model.random.nextBoolean()) {
            lease.watch();
        }
    }

    private void sendOrder() {
        lease.usableFencingNumber()
                .ifPresent(
                        number ->
                                model.invariants.onOrder(
                                        model.time.instant(), name, run, number, era.fallbacks()));
    }

    /** Gets another daemon's records while the store does not answer, and at times without need. */
    private void relayAtTimes() {
        schedule(RELAY_INTERVAL, this::relayAtTimes);
        boolean reachable = operatorFeed.isReachable() && targetsFeed.isReachable();
        if (!reachable || model.random.nextInt(10) == 0) {
            model.otherThan(this).ifPresent(this::relayFrom);
        }
    }

    private void relayFrom(StoreFallbackDaemon peer) {
        switch (model.random.nextInt(4)) {
            case 0 -> relay.requestAll(peer.name, peer.name);
            case 1 -> relay.requestOperators(peer.name, peer.name);
            default -> relay.request(peer.name, peer.name, RELAY_TIMEOUT);
        }
    }

    private CompletionStage<HttpAnswer> callPeer(HttpCaller.Call call) {
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        schedule(
                call.timeout(),
                () -> answer.completeExceptionally(new IllegalStateException("timeout")));
        model.daemon(call.address()).ifPresent(peer -> peer.answerPeer(this, call.body(), answer));
        return answer;
    }

    private void answerPeer(
            StoreFallbackDaemon asking, byte[] body, CompletableFuture<HttpAnswer> answer) {
        deliver(
                Duration.ofMillis(1 + model.random.nextInt(20)),
                () -> {
                    byte[] response = relay.handleRequest(body).body();
                    HttpAnswer sent = new HttpAnswer(200, EmptyHttpHeaders.INSTANCE, response);
                    int late = model.random.nextInt(10) == 0 ? 600 : 20;
                    asking.deliver(
                            Duration.ofMillis(1 + model.random.nextInt(late)),
                            () -> answer.complete(sent));
                });
    }

    // The invariants of records.

    private void report(Kind kind, String description) {
        model.invariants.report(kind, model.time.instant(), name + ": " + description);
    }

    /** Compares what the replica accepts with what it had accepted before. */
    private final class CheckedListener implements FeedMirror.FeedListener {

        @Override
        public void onRecord(Feed feed, FeedRecord record) {
            if (feed == Feed.TARGETS && record.value().isPresent()) {
                checkMirrored(record);
            } else if (feed == Feed.TARGETS) {
                withdrawn.putIfAbsent(record.key(), model.time.instant());
            }
            updater.onRecord(feed, record);
        }

        private void checkMirrored(FeedRecord record) {
            var registration =
                    StoreFallbackModel.Registration.parse(
                            record.key(), new String(record.value().get(), StandardCharsets.UTF_8));
            var before = mirrored.put(record.key(), registration);
            boolean deleted = withdrawn.remove(record.key()) != null;
            if (before == null) {
                return;
            }
            int order = registration.compareTo(before);
            // A lapsed registration is in use still, and an older record is no later state.
            boolean lapsed = deleted && clusterView.targets().find(record.key()).isPresent();
            if (!lapsed && (order < 0 || deleted && order == 0)) {
                report(
                        Kind.REPLICA_WENT_BACK,
                        record.position() + " " + registration + " after " + before);
            }
        }

        @Override
        public boolean isRenewal(Feed feed, FeedRecord before, FeedRecord record) {
            return updater.isRenewal(feed, before, record);
        }

        @Override
        public boolean isEarlierState(Feed feed, FeedRecord record, FeedRecord other) {
            return updater.isEarlierState(feed, record, other);
        }
    }

    private Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        versions.put(StoreFallbackModel.CONFIGURATION_KEY, clusterView.configuration().version());
        clusterView
                .desiredWeightVersions()
                .newestVersions()
                .forEach((key, version) -> versions.put(key, (long) version));
        return versions;
    }

    private static StoreFallbackModel.Registration registration(RegisteredTarget target) {
        return new StoreFallbackModel.Registration(
                target.id(),
                target.incarnation().startedAt().toEpochMilli(),
                0,
                target.slots(),
                target.leaving());
    }

    /** Returns whether a state of a target is at least as late as another one. */
    private static boolean isAtLeast(
            StoreFallbackModel.Registration known, StoreFallbackModel.Registration other) {
        return known.startedAt() > other.startedAt()
                || known.startedAt() == other.startedAt() && known.state() >= other.state();
    }

    private void checkBeliefs() {
        versions()
                .forEach(
                        (key, version) -> {
                            long before = knownVersions.getOrDefault(key, 0L);
                            if (version < before) {
                                report(
                                        Kind.VERSION_WENT_BACK,
                                        key + " " + version + " after " + before);
                            }
                            knownVersions.put(key, Math.max(before, version));
                        });
        Set<String> absent = new HashSet<>(present);
        present.clear();
        for (RegisteredTarget target : clusterView.targets().all()) {
            var registration = registration(target);
            var before = knownTargets.get(target.id());
            if (before != null && !isAtLeast(registration, before)) {
                report(Kind.REGISTRATION_WENT_BACK, registration + " after " + before);
            } else {
                knownTargets.put(target.id(), registration);
            }
            knownSince.putIfAbsent(target.id(), model.time.instant());
            present.add(target.id());
        }
        absent.removeAll(present);
        absent.forEach(this::checkRemoved);
    }

    /**
     * Checks that a target that was known at the store's return is not removed while it lives. It
     * writes again what the store has lost within the grace period after the return, and the record
     * may be unseen for some time more. A daemon that was frozen, or whose calls were lost or late
     * since the return, handles old answers and removes the target without a later read.
     */
    private void checkRemoved(String id) {
        Instant now = model.time.instant();
        boolean disturbed = !excusedUntil.get(Feed.TARGETS.name()).isBefore(fellBackAt);
        if (!knownSince.remove(id).isBefore(model.store.availableSince()) || disturbed) {
            return;
        }
        Duration grace = TargetRegistry.RENEWAL_GRACE;
        Instant rewritten = model.store.availableSince().plus(grace);
        Instant lapsed = later(withdrawn.getOrDefault(id, now), fellBackAt);
        boolean graceGiven = !now.isBefore(rewritten) || !now.isBefore(lapsed.plus(grace));
        Instant seen =
                later(rewritten, excusedUntil.get(Feed.TARGETS.name()))
                        .plus(readBound(Feed.TARGETS))
                        .plus(LAPSE_CHECK);
        if (graceGiven && (model.store.isAway() || now.isBefore(seen))) {
            return;
        }
        Optional<StoreFallbackModel.Registration> live = live(id);
        if (live.filter(target -> !target.leaving())
                .filter(target -> target.startedAt() == knownTargets.get(id).startedAt())
                .isPresent()) {
            report(Kind.TARGET_LOST, id + " removed, " + live);
        }
    }

    private Optional<StoreFallbackModel.Registration> live(String id) {
        return model.truth(id).value().map(StoreFallbackModel.Registration.class::cast);
    }

    /** Checks that the store's records are seen, unless a fault explains that they are not. */
    void checkSeen() {
        if (isFrozen()) {
            return;
        }
        List<String> unseen = new ArrayList<>();
        for (Feed feed : FEEDS) {
            Duration bound = readBound(feed);
            Instant due = later(excusedUntil.get(feed.name()), model.store.availableSince());
            for (EraStoreModel.Entry entry : model.store.newest(feed.name()).values()) {
                Duration grace =
                        entry.value().isPresent()
                                ? Duration.ZERO
                                : TargetRegistry.RENEWAL_GRACE.plus(LAPSE_CHECK);
                Instant deadline = later(due, entry.writtenAt()).plus(bound).plus(grace);
                if (model.time.instant().isAfter(deadline) && !isSeen(feed, entry)) {
                    unseen.add(entry + " due " + deadline);
                }
            }
        }
        unseen.forEach(record -> report(Kind.RECORD_UNSEEN, record));
    }

    /** Returns the longest time for which a record is unseen while calls are answered. */
    private static Duration readBound(Feed feed) {
        FeedFollower.PollSettings settings = settings(feed);
        return settings.pause()
                .plus(settings.maximumWait())
                .plus(RETRY_PAUSE.multipliedBy(2))
                .plus(TRANSMISSION);
    }

    private static Instant later(Instant instant, Instant other) {
        return instant.isAfter(other) ? instant : other;
    }

    private boolean isSeen(Feed feed, EraStoreModel.Entry entry) {
        if (feed == Feed.OPERATOR) {
            long known = knownVersions.getOrDefault(entry.key(), 0L);
            return known >= (Integer) entry.value().orElseThrow();
        }
        Optional<StoreFallbackModel.Registration> known =
                clusterView.targets().find(entry.key()).map(StoreFallbackDaemon::registration);
        Optional<StoreFallbackModel.Registration> live = live(entry.key());
        if (entry.value().isEmpty()) {
            return live.isPresent() || known.isEmpty();
        }
        var written = (StoreFallbackModel.Registration) entry.value().get();
        if (known.isPresent()) {
            return isAtLeast(known.get(), written);
        }
        boolean ended = live.filter(now -> now.startedAt() == written.startedAt()).isEmpty();
        return ended && withdrawn.containsKey(entry.key());
    }
}
