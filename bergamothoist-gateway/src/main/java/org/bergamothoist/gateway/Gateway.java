package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.StoreEra;
import org.bergamothoist.core.fleet.CrossingRule;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.gossip.CallerAssignment;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.gossip.ReportSchedule;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.prefix.EngineCosts;
import org.bergamothoist.core.quota.OrganisationQuotas;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.rollout.RolloutSettings;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.MonotonicClock;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.buffer.HeldBytes;
import org.bergamothoist.gateway.caller.ActiveAttempts;
import org.bergamothoist.gateway.caller.AdmissionGate;
import org.bergamothoist.gateway.caller.CallerServer;
import org.bergamothoist.gateway.caller.CrashingContentGuard;
import org.bergamothoist.gateway.caller.ExchangeDependencies;
import org.bergamothoist.gateway.caller.PreDispatchFilters;
import org.bergamothoist.gateway.caller.QuotaFilter;
import org.bergamothoist.gateway.caller.RelayMetrics;
import org.bergamothoist.gateway.caller.StopDeadline;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.control.AuxiliaryHttpServer;
import org.bergamothoist.gateway.control.CacheEventPollers;
import org.bergamothoist.gateway.control.ContentQuarantine;
import org.bergamothoist.gateway.control.EngineOrderClient;
import org.bergamothoist.gateway.control.LoggedVersionDates;
import org.bergamothoist.gateway.control.MetricsEndpoint;
import org.bergamothoist.gateway.control.RecordRelay;
import org.bergamothoist.gateway.control.ReportExchange;
import org.bergamothoist.gateway.control.StreamMigrator;
import org.bergamothoist.gateway.control.StructuredDecisionLog;
import org.bergamothoist.gateway.control.WeightRollout;
import org.bergamothoist.gateway.state.CallerDaemons;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.state.ClusterViewUpdater;
import org.bergamothoist.gateway.state.CommonOutageDetector;
import org.bergamothoist.gateway.state.RecordDecoder;
import org.bergamothoist.gateway.wire.WireDialect;

/** One daemon: wires its parts, starts them and stops them. All parts run on one event loop. */
public final class Gateway implements PlatformAdapter.Questions {

    /** Interval between checks of lapsed registrations. */
    private static final Duration LAPSE_CHECK = Duration.ofMillis(250);

    /** Time between two checks above which the process did not run in between. */
    private static final Duration LONGEST_CHECK_INTERVAL = LAPSE_CHECK.multipliedBy(2);

    /** Time after the start for which readiness waits for the list of quarantined contents. */
    private static final Duration QUARANTINE_READ_TIMEOUT = Duration.ofSeconds(1);

    /** The heap divided by this is the limit of the bytes held for peers. */
    private static final int HEAP_PARTS_FOR_HELD_BYTES = 4;

    /** Most addresses in an answer to a caller. */
    private static final int MOST_ADDRESSES = 64;

    /** Share of the retries allowed at once that daemons use; the rest covers differing views. */
    private static final double RETRY_SLACK_SHARE = 0.93;

    private final GatewaySettings settings;
    private final EventLoop eventLoop;
    private final MultiThreadIoEventLoopGroup group;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final HeldBytes heldBytes;
    private final CrossingRule crossing;
    private final DaemonId self;
    private final ClusterView clusterView;
    private final ProcessorMeter processor;
    private final CallerDaemons callerDaemons;
    private final OrganisationQuotas quotas;
    private final PauseDetector pauses;
    private final FeedFreshness operatorFreshness;
    private final StoreEra storeEra;
    private final RecordDecoder decoder;
    private final PlatformAdapter.Store store;
    private final ContentQuarantine quarantine;
    private final Instant createdAt;
    private final ClusterViewUpdater updater;
    private final StoreFeeds feeds;
    private final OwnAddressRecord ownAddress;
    private final ActiveAttempts activeAttempts = new ActiveAttempts(this::onDispatched);
    private final CallerServer callers;
    private final AuxiliaryHttpServer readiness;
    private final AuxiliaryHttpServer directory;
    private final AuxiliaryHttpServer peers;
    private final AuxiliaryHttpServer metricsServer;
    private final StreamMigrator departure;
    private final ReportExchange reports;
    private final CommonOutageDetector commonOutage;
    private final OrderLease lease;
    private final WeightRollout rollout;
    private final CacheEventPollers caches;
    private final PlannedStop plannedStop;
    private long reportSequence;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean quarantineRead;
    private boolean recoveredAtStart;
    private boolean stopping;

    private Gateway(GatewaySettings settings, PlatformAdapter platform) {
        this.settings = settings;
        this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        this.eventLoop = (EventLoop) group.next();
        this.scheduler = new EventLoopScheduler(eventLoop);
        this.clock = new MonotonicClock();
        this.createdAt = clock.instant();
        this.random = RandomGenerator.getDefault()::nextDouble;
        this.metrics = new MetricRegistry();
        this.log = new StructuredDecisionLog(settings.daemon(), InstantSource.system(), metrics);
        this.self = new DaemonId(settings.daemon(), clock.millis());
        FeedPaces paces = new FeedPaces(settings);
        this.clusterView = ClusterView.empty(self, clock, paces.assumedVersionAge());
        this.pauses = new PauseDetector(LONGEST_CHECK_INTERVAL, clock, this::onPause);
        this.operatorFreshness = new FeedFreshness(paces.longestOperatorRead(), pauses, clock);
        this.processor =
                new ProcessorMeter(settings.capacity(), ProcessorMeter.ofThisProcess(), this.clock);
        this.callerDaemons = createCallerDaemons();
        this.quotas =
                QuotaFilter.createQuotas(
                        settings, clusterView, callerDaemons, clock, random, metrics, log);

        this.crossing = CrossingRules.create(settings, clusterView, clock, metrics, log);
        this.heldBytes =
                new HeldBytes(
                        Runtime.getRuntime().maxMemory() / HEAP_PARTS_FOR_HELD_BYTES, metrics, log);
        ConnectionPools pools = new ConnectionPools(eventLoop, clock, metrics, log);
        ConnectionPool targets =
                pools.targets(clusterView.targetStates(), crossing::recordConnectTime);
        HttpCaller controlCaller = new HttpCaller(pools.control(), eventLoop, heldBytes);
        this.storeEra = new StoreEra(log);
        this.decoder = platform.decoder();
        this.store = platform.store(settings.store(), controlCaller, storeEra);
        metrics.gauge("store-era", () -> storeEra::current);
        metrics.gauge("store-fallbacks", () -> storeEra::fallbacks);
        metrics.gauge("store-answers-dropped", () -> storeEra::droppedAnswers);
        this.quarantine = createQuarantine(targets, platform.dialect());
        this.updater = createUpdater(targets);
        this.feeds = createFeeds(controlCaller);
        this.ownAddress = createOwnAddress();

        this.callers =
                new CallerServer(
                        eventLoop,
                        exchangeDependencies(platform, targets),
                        clusterView.configuration());
        this.readiness = new AuxiliaryHttpServer(eventLoop, platform.readinessHandlers(this), log);
        this.directory = new AuxiliaryHttpServer(eventLoop, platform.directoryHandlers(this), log);
        this.departure = new StreamMigrator(activeAttempts::migrateStreamsFrom, scheduler);
        this.reports = createReports();
        this.commonOutage = createCommonOutageDetector();
        this.peers =
                new AuxiliaryHttpServer(
                        eventLoop,
                        Map.of(RecordRelay.PATH, (parameters, body) -> feeds.handleRequest(body)),
                        log);
        MetricsEndpoint page = new MetricsEndpoint(metrics);
        this.metricsServer =
                new AuxiliaryHttpServer(
                        eventLoop, Map.of("/metrics", (parameters, body) -> page.response()), log);
        this.lease =
                new OrderLease(
                        self.name(),
                        store.orderLease(),
                        new LoggedVersionDates(clusterView.desiredWeightVersions(), clock, log),
                        Duration.ofMillis(settings.orderLeaseMilliseconds()),
                        clock,
                        log);
        this.caches =
                new CacheEventPollers(
                        clusterView,
                        platform.cacheEvents(controlCaller),
                        settings.peers(),
                        callerDaemons::sharingPeers,
                        scheduler,
                        log);
        this.rollout = createRollout(platform.engineOrders(controlCaller));
        this.plannedStop = createPlannedStop();
    }

    private PlannedStop createPlannedStop() {
        return new PlannedStop(
                self, settings.graceSeconds(), callers, callers::endings, scheduler, clock, log);
    }

    private OwnAddressRecord createOwnAddress() {
        return new OwnAddressRecord(
                () -> store.publish(self.name(), settings.peers()),
                () -> feeds.isDaemonAddressStored(settings.peers(), decoder),
                feeds::startDaemons,
                scheduler,
                random,
                log);
    }

    private ContentQuarantine createQuarantine(ConnectionPool targets, WireDialect dialect) {
        return new ContentQuarantine(
                clusterView,
                targets,
                dialect,
                store,
                this::isOrderHolder,
                this::isFirstByName,
                this::reportSoon,
                scheduler,
                // A step of the clock on one daemon must not end what all of them refuse.
                MonotonicClock.withoutSystemClock(),
                metrics,
                log);
    }

    private ClusterViewUpdater createUpdater(ConnectionPool targets) {
        return new ClusterViewUpdater(
                clusterView, decoder, targets, operatorFreshness, clock, quarantine, log);
    }

    private ReportExchange createReports() {
        return new ReportExchange(
                clusterView,
                this::report,
                this::reportSituation,
                departure::scheduleMigration,
                quarantine.contents(),
                eventLoop,
                scheduler,
                clock,
                log);
    }

    private CallerAssignment.Candidate candidate() {
        return new CallerAssignment.Candidate(
                self.name(),
                settings.dataCentre(),
                settings.callers(),
                settings.peers(),
                settings.capacity(),
                processor.utilisation());
    }

    private CallerDaemons createCallerDaemons() {
        return new CallerDaemons(this::candidate, this::isReady, clusterView.daemons(), clock, log);
    }

    private StoreFeeds createFeeds(HttpCaller controlCaller) {
        return new StoreFeeds(
                candidate(),
                settings,
                store,
                controlCaller::call,
                clusterView,
                callerDaemons,
                this::isReady,
                this::isOrderHolder,
                storeEra::isAnnounced,
                this::isQuarantineRead,
                operatorFreshness,
                pauses,
                updater,
                scheduler,
                clock,
                random,
                metrics,
                log);
    }

    private CommonOutageDetector createCommonOutageDetector() {
        return new CommonOutageDetector(
                clusterView.daemons(), operatorFreshness, pauses, feeds::isOperatorFeedReachable);
    }

    private WeightRollout createRollout(EngineOrderClient orderClient) {
        return new WeightRollout(
                self.name(),
                clusterView,
                orderClient,
                lease,
                feeds::isReading,
                new WeightRollout.Limits(
                        RolloutSettings.DEFAULT,
                        Duration.ofMillis(settings.longestOutdatedMilliseconds()),
                        EngineCosts.STANDARD.prefillTokensPerMillisecond()),
                this::onChanging,
                scheduler,
                clock,
                log);
    }

    private ExchangeDependencies exchangeDependencies(
            PlatformAdapter platform, ConnectionPool targets) {
        PreDispatchFilters filters =
                new PreDispatchFilters(
                        clusterView.configuration(),
                        () -> plannedStop.isRefusing(),
                        new QuotaFilter(quotas),
                        random);
        return new ExchangeDependencies(
                filters.chain(),
                TargetSelectors.create(
                        settings, clusterView, crossing, clock, random, metrics, log),
                crossing,
                new RetryPolicy(new RetryBudgets(settings.retryShare(), this::retryReserve)),
                new AdmissionGate(
                        settings.admissionQueue(),
                        clusterView,
                        activeAttempts,
                        callerDaemons::count,
                        () -> plannedStop.endsAt().isPresent(),
                        scheduler,
                        clock,
                        random,
                        metrics),
                new CrashingContentGuard(
                        quarantine.contents(), quarantine.probes(), quarantine.losses()),
                targets,
                quarantine.liveness(),
                platform.dialect(),
                activeAttempts,
                new RelayMetrics(metrics),
                heldBytes,
                new StopDeadline(() -> plannedStop.endsAt(), clock),
                scheduler,
                clock,
                random,
                log);
    }

    /** Starts a daemon; throws {@link GatewayException} if an address cannot be bound. */
    public static Gateway start(GatewaySettings settings, PlatformAdapter platform) {
        Gateway gateway = new Gateway(settings, platform);
        CompletableFuture<Void> listening = new CompletableFuture<>();
        gateway.eventLoop.execute(
                () -> {
                    try {
                        gateway.begin(listening);
                    } catch (RuntimeException exception) {
                        listening.completeExceptionally(exception);
                    }
                });
        try {
            listening.join();
        } catch (CompletionException exception) {
            gateway.group.shutdownGracefully();
            throw new GatewayException(
                    ErrorCode.INVALID_SETTINGS,
                    "an address cannot be bound: " + exception.getCause().getMessage(),
                    exception.getCause());
        }
        return gateway;
    }

    private void begin(CompletableFuture<Void> listening) {
        List<ChannelFuture> bound =
                List.of(
                        callers.listen(ConnectionPool.socketAddress(settings.callers())),
                        readiness.listen(ConnectionPool.socketAddress(settings.readiness())),
                        directory.listen(ConnectionPool.socketAddress(settings.directory())),
                        peers.listen(ConnectionPool.socketAddress(settings.peers())),
                        metricsServer.listen(ConnectionPool.socketAddress(settings.metrics())),
                        reports.open(ConnectionPool.socketAddress(settings.peers())));
        storeEra.addListener((before, after) -> lease.onStoreFallback());
        storeEra.addListener((before, after) -> onStoreFallback(after));
        bound.forEach(
                future ->
                        future.addListener(
                                done -> {
                                    if (!done.isSuccess()) {
                                        listening.completeExceptionally(done.cause());
                                    } else if (bound.stream().allMatch(ChannelFuture::isSuccess)) {
                                        listening.complete(null);
                                    }
                                }));
        settings.seeds().forEach(clusterView.daemons()::addCandidate);
        feeds.start();
        // Written before others' are read, so that of two daemons that start one sees both.
        ownAddress.write();
        rollout.start();
        caches.start();
        quarantine.records().start();
        checkLapsed();
        log.write(
                DecisionKind.DAEMON_STARTED,
                self.toString(),
                () -> "callers=" + settings.callers() + " store=" + settings.store(),
                "listening");
    }

    private void onStoreFallback(long era) {
        feeds.onStoreFallback(era);
        quarantine.records().onStoreFallback();
        scheduler.schedule(
                Jitter.delay(Duration.ZERO, OwnAddressRecord.RESTORE_SPREAD, random),
                this::restoreRecords);
    }

    /** Writes again what this daemon wrote to the store, unless the store's copy has it. */
    private void restoreRecords() {
        ownAddress.restore();
        quarantine.records().restore();
    }

    private void onPause(Duration pause) {
        metrics.counter("pauses").inc();
        log.write(
                DecisionKind.DAEMON_PAUSED,
                self.toString(),
                () ->
                        "milliseconds="
                                + pause.toMillis()
                                + " store-reachable="
                                + feeds.isStoreReachable(),
                "runs again");
    }

    private void checkLapsed() {
        pauses.recordRun();
        processor.sample();
        updater.removeLapsedTargets();
        commonOutage.update();
        quarantine.removeExpired();
        scheduler.schedule(LAPSE_CHECK, this::checkLapsed);
    }

    private void onChanging(TargetIncarnation engine) {
        reports.sendReportUnlessRecent();
        boolean changing =
                clusterView
                        .targetStates()
                        .find(engine.id())
                        .filter(state -> state.isChangingWeights(clock.instant()))
                        .isPresent();
        if (changing) {
            departure.scheduleMigration(engine.id());
        }
    }

    private void onDispatched(TargetState state) {
        reports.onDispatched(state);
    }

    private int retryReserve() {
        return (int) (settings.retrySlack() * RETRY_SLACK_SHARE / callerDaemons.count());
    }

    private ReportSchedule.Situation reportSituation(List<String> receivers) {
        boolean starting = callerDaemons.isStarting();
        boolean hasWork =
                lease.isHolder()
                        || clusterView.targets().all().stream()
                                .map(target -> clusterView.targetStates().find(target.id()))
                                .flatMap(Optional::stream)
                                .anyMatch(state -> state.load().ownRequests() > 0);
        return new ReportSchedule.Situation(
                receivers,
                starting ? Set.of() : callerDaemons.peerAddresses(),
                callerDaemons.isActive(),
                hasWork);
    }

    private DaemonReport report(
            List<DaemonReport.TargetReport> targets, Duration nextWithin, boolean complete) {
        return new DaemonReport(
                self,
                ++reportSequence,
                settings.callers(),
                settings.peers(),
                settings.dataCentre(),
                isReady(),
                feeds.isStoreReachable(),
                lease.isHolder(),
                clusterView.configuration().version(),
                settings.capacity(),
                nextWithin,
                caches.isStoreReachable(),
                complete,
                targets,
                quotas.nextReport(),
                new DaemonReport.Utilisation(processor.utilisation(), 0),
                feeds.isReading());
    }

    @Override
    public boolean isReady() {
        return !stopping && clusterView.isReady() && isQuarantineRead() && isRecoveredAtStart();
    }

    /** Returns whether the quarantined contents were read at the start, or waited for in vain. */
    private boolean isQuarantineRead() {
        quarantineRead =
                quarantineRead
                        || feeds.isDaemonsFeedReachable()
                        || clock.instant().isAfter(createdAt.plus(QUARANTINE_READ_TIMEOUT));
        return quarantineRead;
    }

    /** Returns whether other daemons were asked for what the store may have lost. */
    private boolean isRecoveredAtStart() {
        // A store that is reached later must not end the readiness.
        recoveredAtStart = recoveredAtStart || feeds.isRecoveredAtStart();
        return recoveredAtStart;
    }

    /** Returns whether no other daemon that is ready has a name before this one's. */
    private boolean isFirstByName() {
        return clusterView.daemons().aliveReports().stream()
                .filter(DaemonReport::ready)
                .allMatch(report -> self.name().compareTo(report.daemon().name()) <= 0);
    }

    private boolean isOrderHolder() {
        return lease.isHolder();
    }

    private void reportSoon() {
        reports.sendReportUnlessRecent();
    }

    @Override
    public List<String> addresses(String dataCentre) {
        return CallerAssignment.addresses(callerDaemons.assigned(), dataCentre, MOST_ADDRESSES);
    }

    /** Notes that the settings file may have changed; its addresses count from the next start. */
    public void settingsChanged() {
        eventLoop.execute(
                () ->
                        log.write(
                                DecisionKind.SETTINGS_RELOADED,
                                self.toString(),
                                () -> "signal",
                                "settings stay until the next start"));
    }

    /** Stops: takes no new callers, finishes what is in progress, and completes the stage. */
    public CompletionStage<Void> stop() {
        plannedStop.request();
        if (!stopped.isDone()) {
            eventLoop.execute(this::beginStop);
        }
        return stopped;
    }

    private void beginStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        callerDaemons.refresh();
        callers.closeAfterResponses();
        reports.sendReportUnlessRecent();
        plannedStop.begin(
                () -> {
                    stopped.complete(null);
                    group.shutdownGracefully();
                });
    }
}
