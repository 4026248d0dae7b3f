package org.bergamothoist.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.feed.StoreReaderAssignment;
import org.bergamothoist.core.feed.StoreReaderRole;
import org.bergamothoist.core.gossip.CallerAssignment;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.control.AuxiliaryHttpServer;
import org.bergamothoist.gateway.control.ReaderPoller;
import org.bergamothoist.gateway.control.RecordRecovery;
import org.bergamothoist.gateway.control.RecordRelay;
import org.bergamothoist.gateway.state.CallerDaemons;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.state.MirroringFeedObserver;
import org.bergamothoist.gateway.state.RecordDecoder;

/**
 * Brings the store's records to a daemon: reads the feeds, or in a larger fleet gets the records
 * from daemons that do. Confined to the event loop.
 */
final class StoreFeeds {

    /** Interval between checks of whether this daemon has to read the store itself. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** Age at which the readers are chosen again; reports come at intervals of a second. */
    private static final Duration MAXIMUM_READERS_AGE = Duration.ofSeconds(1);

    private final CallerAssignment.Candidate self;
    private final GatewaySettings settings;
    private final FeedPaces paces;
    private final ClusterView clusterView;
    private final CallerDaemons callerDaemons;
    private final BooleanSupplier selfReady;
    private final BooleanSupplier orderHolder;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final MetricRegistry metrics;
    private final StoreReaderAssignment.Settings assignment;
    private final ReplicatedFeeds feeds;
    private final StoreReaderRole role;
    private final FallbackObserver fallbackObserver;
    private final FeedFollower operatorFeed;
    private final FeedFollower targetsFeed;
    private final FeedFollower daemonsFeed;
    private final RecordRelay relay;
    private final ReaderPoller poller;
    private final RecordRecovery recovery;
    private final BooleanSupplier lossesPossible;
    private final BooleanSupplier addressesRead;
    private final Histogram operatorAge;
    private final Histogram targetsAge;
    private Instant readersChosenAt = Instant.EPOCH;
    private boolean fallbackRecoveryDue;

    /**
     * Creates the feeds of a daemon, which are not read yet.
     *
     * @param self this daemon
     * @param selfReady returns whether this daemon is ready
     * @param orderHolder returns whether this daemon holds the lease for orders to engines
     * @param lossesPossible returns whether the store announces an era, so that it may have lost
     *     records
     * @param addressesRead returns whether other daemons' addresses were read, or waited for in
     *     vain
     * @param operatorFreshness bounds the age of operators' records
     * @param listener handles new records
     */
    StoreFeeds(
            CallerAssignment.Candidate self,
            GatewaySettings settings,
            FeedSource store,
            RecordRelay.PeerClient peers,
            ClusterView clusterView,
            CallerDaemons callerDaemons,
            BooleanSupplier selfReady,
            BooleanSupplier orderHolder,
            BooleanSupplier lossesPossible,
            BooleanSupplier addressesRead,
            FeedFreshness operatorFreshness,
            PauseDetector pauses,
            FeedMirror.FeedListener listener,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics,
            DecisionLog log) {
        this.self = self;
        this.settings = settings;
        this.paces = new FeedPaces(settings);
        this.clusterView = clusterView;
        this.callerDaemons = callerDaemons;
        this.selfReady = selfReady;
        this.orderHolder = orderHolder;
        this.lossesPossible = lossesPossible;
        this.addressesRead = addressesRead;
        this.scheduler = scheduler;
        this.clock = clock;
        this.metrics = metrics;
        this.assignment = StoreReaderAssignment.Settings.of(settings.storeReaders());
        this.feeds =
                new ReplicatedFeeds(
                        new FeedMirror(listener),
                        operatorFreshness,
                        new FeedFreshness(paces.longestTargetsRead(), pauses, clock));
        this.role =
                new StoreReaderRole(
                        self.name(), self.dataCentre(), paces.relayLimits(), clock, log);
        FeedSource countedStore = new CountedSource(store, metrics);
        FallbackObserver observer = createObserver(log);
        this.fallbackObserver = observer;
        this.operatorFeed =
                new FeedFollower(
                        Feed.OPERATOR,
                        countedStore,
                        () -> paces.operators(role.isServing()),
                        scheduler,
                        clock,
                        random,
                        observer,
                        role::isReading);
        this.targetsFeed =
                new FeedFollower(
                        Feed.TARGETS,
                        countedStore,
                        () -> paces.targets(callerDaemons.isActive(), role.isServing()),
                        scheduler,
                        clock,
                        random,
                        observer,
                        role::isReading);
        this.daemonsFeed =
                new FeedFollower(
                        Feed.DAEMONS,
                        countedStore,
                        () -> FeedPaces.DAEMONS,
                        scheduler,
                        clock,
                        random,
                        observer);
        this.relay = createRelay(peers, random, log);
        this.poller =
                new ReaderPoller(
                        role,
                        relay,
                        () -> paces.relayInterval(callerDaemons.isActive()),
                        paces.relayTimeout(),
                        this::updateRole,
                        scheduler,
                        random);
        this.recovery = createRecovery(random, log);
        clusterView.daemons().addListener(recovery::onReport);
        this.operatorAge = metrics.histogram("operator-records-age-milliseconds");
        this.targetsAge = metrics.histogram("target-records-age-milliseconds");
        metrics.gauge("store-reader", () -> () -> role.isReading() ? 1 : 0);
    }

    private RecordRelay createRelay(
            RecordRelay.PeerClient peers, DoubleSupplier random, DecisionLog log) {
        return new RecordRelay(
                feeds,
                clusterView,
                call -> {
                    metrics.counter("relay-calls").inc();
                    return peers.call(call);
                },
                () -> !isStoreReachable() || needsVersionDates() && !role.isPolling(),
                this::needsVersionDates,
                targetsFeed::isSuspended,
                scheduler,
                clock,
                random,
                log);
    }

    private RecordRecovery createRecovery(DoubleSupplier random, DecisionLog log) {
        return new RecordRecovery(
                relay,
                clusterView.daemons(),
                clusterView.configuration(),
                self.peerAddress(),
                paces.longestOperatorRead(),
                scheduler,
                clock,
                random,
                metrics,
                log);
    }

    private FallbackObserver createObserver(DecisionLog log) {
        return new FallbackObserver(
                new MirroringFeedObserver(feeds, clusterView.targets(), this::onListed, log),
                metrics.histogram("store-fallback-listing-milliseconds"),
                clock,
                log);
    }

    /** Counts the reads of the store. */
    private record CountedSource(FeedSource store, MetricRegistry metrics) implements FeedSource {

        @Override
        public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
            metrics.counter("store-reads").inc();
            return store.read(feed, from, wait);
        }

        @Override
        public CompletionStage<Listing> list(Feed feed) {
            metrics.counter("store-reads").inc();
            return store.list(feed);
        }
    }

    /** Starts to bring the records of operators and of targets. */
    void start() {
        operatorFeed.start();
        targetsFeed.start();
        relay.start();
        poller.start();
        check();
    }

    /**
     * Reads all feeds anew, because the store has come back from an older copy. What is known stays
     * in force.
     *
     * @param era era from now on
     */
    void onStoreFallback(long era) {
        fallbackObserver.onStoreFallback();
        clusterView.targets().onStoreFallback();
        for (Feed feed : Feed.values()) {
            feeds.mirror().restart(feed, era);
            feeds.freshness(feed).ifPresent(FeedFreshness::recordFailure);
        }
        operatorFeed.restart();
        targetsFeed.restart();
        daemonsFeed.restart();
        fallbackRecoveryDue = true;
    }

    private void onListed(Feed feed) {
        if (feed == Feed.OPERATOR) {
            recoverAfterFallbackIfDue();
        }
        recoverAtStartIfPossible();
    }

    private void recoverAfterFallbackIfDue() {
        if (fallbackRecoveryDue) {
            fallbackRecoveryDue = false;
            recovery.recoverAfterFallback();
        }
    }

    private void recoverAtStartIfPossible() {
        if (lossesPossible.getAsBoolean()
                && (operatorFeed.isReachable() || clusterView.isReady())
                && addressesRead.getAsBoolean()) {
            recovery.recoverAtStart();
        }
    }

    /** Returns whether this daemon has learned from others at its start what the store lacks. */
    boolean isRecoveredAtStart() {
        return !lossesPossible.getAsBoolean() || recovery.isStartCompleted();
    }

    /** Starts to read other daemons' addresses. */
    void startDaemons() {
        daemonsFeed.start();
    }

    /** Returns whether the store has a daemon's address, as far as this daemon has read. */
    boolean isDaemonAddressStored(String address, RecordDecoder decoder) {
        return feeds.mirror().storedRecords(Feed.DAEMONS).stream()
                .filter(record -> decoder.quarantinedContentKey(record.key()).isEmpty())
                .flatMap(record -> record.value().stream())
                .flatMap(value -> decoder.daemonAddress(value).stream())
                .anyMatch(address::equals);
    }

    private void check() {
        updateRole();
        recoverAtStartIfPossible();
        if (operatorFeed.isSuspended()) {
            recoverAfterFallbackIfDue();
        }
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    private void updateRole() {
        Instant now = clock.instant();
        if (now.isAfter(readersChosenAt.plus(MAXIMUM_READERS_AGE))) {
            readersChosenAt = now;
            chooseReaders();
            recordAges(now);
        }
        role.update(
                new StoreReaderRole.Situation(
                        callerDaemons.isStarting(),
                        orderHolder.getAsBoolean(),
                        isStoreReachable(),
                        completeUntil()));
        if (role.isReading()) {
            resume();
        }
    }

    private Map<Feed, Instant> completeUntil() {
        Map<Feed, Instant> completeUntil = new EnumMap<>(Feed.class);
        for (Feed feed : Feed.values()) {
            feeds.freshness(feed)
                    .flatMap(FeedFreshness::completeUntil)
                    .ifPresent(until -> completeUntil.put(feed, until));
        }
        return completeUntil;
    }

    private void resume() {
        if (targetsFeed.isSuspended()) {
            // What a reader said of the store's availability is replaced by this daemon's reads.
            clusterView.targets().onStoreAvailable();
        }
        operatorFeed.resume();
        targetsFeed.resume();
    }

    private void chooseReaders() {
        List<DaemonReport> alive = clusterView.daemons().aliveReports();
        if (StoreReaderAssignment.allRead(alive.size() + 1, assignment)) {
            role.setReaders(List.of(), true);
            return;
        }
        Set<String> callers =
                callerDaemons.assigned().stream()
                        .map(CallerAssignment.Candidate::name)
                        .collect(Collectors.toUnmodifiableSet());
        List<StoreReaderAssignment.Candidate> candidates = new ArrayList<>();
        alive.stream()
                .filter(report -> report.ready() && report.storeReachable())
                .map(
                        report ->
                                new StoreReaderAssignment.Candidate(
                                        report.daemon().name(),
                                        report.dataCentre(),
                                        report.peerAddress(),
                                        report.capacity(),
                                        callers.contains(report.daemon().name())))
                .forEach(candidates::add);
        if (selfReady.getAsBoolean() && isStoreReachable()) {
            candidates.add(
                    new StoreReaderAssignment.Candidate(
                            self.name(),
                            self.dataCentre(),
                            self.peerAddress(),
                            self.capacity(),
                            callers.contains(self.name())));
        }
        role.setReaders(StoreReaderAssignment.choose(candidates, assignment), false);
    }

    private void recordAges(Instant now) {
        recordAge(operatorAge, feeds.operators(), now);
        recordAge(targetsAge, feeds.targets(), now);
    }

    private static void recordAge(Histogram histogram, FeedFreshness freshness, Instant now) {
        freshness
                .completeUntil()
                .ifPresent(until -> histogram.update(Duration.between(until, now).toMillis()));
    }

    /** Handles another daemon's request for records. */
    AuxiliaryHttpServer.Response handleRequest(byte[] body) {
        metrics.counter("relay-answers").inc();
        return relay.handleRequest(body);
    }

    /** Returns whether this daemon reads the store itself. */
    boolean isReading() {
        return role.isReading();
    }

    /** Returns whether the last own reads of operators' records and registrations succeeded. */
    boolean isStoreReachable() {
        return operatorFeed.isReachable() && targetsFeed.isReachable();
    }

    boolean isOperatorFeedReachable() {
        return operatorFeed.isReachable();
    }

    boolean isDaemonsFeedReachable() {
        return daemonsFeed.isReachable();
    }

    /** Returns whether requests may still start on weights whose age is only assumed. */
    private boolean needsVersionDates() {
        Duration longestOutdated = Duration.ofMillis(settings.longestOutdatedMilliseconds());
        return clusterView
                .desiredWeightVersions()
                .hasAssumedDateAfter(clock.instant().minus(longestOutdated));
    }
}
