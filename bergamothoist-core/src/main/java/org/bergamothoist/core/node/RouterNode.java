package org.bergamothoist.core.node;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.cache.CacheSynchroniser;
import org.bergamothoist.core.cache.SynchroniserSettings;
import org.bergamothoist.core.claim.ClaimController;
import org.bergamothoist.core.dispatch.CompletionDispatcher;
import org.bergamothoist.core.dispatch.EngineLossDetector;
import org.bergamothoist.core.dispatch.ServiceDispatcher;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.filter.AdmissionFilter;
import org.bergamothoist.core.filter.AuthenticationFilter;
import org.bergamothoist.core.filter.ClaimFilter;
import org.bergamothoist.core.filter.CompletionEntitlementFilter;
import org.bergamothoist.core.filter.ConfigurationFilter;
import org.bergamothoist.core.filter.QuarantineFilter;
import org.bergamothoist.core.filter.ServiceEntitlementFilter;
import org.bergamothoist.core.filter.ServiceLimitFilter;
import org.bergamothoist.core.filter.SizeFilter;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionLimits;
import org.bergamothoist.core.limit.AdmissionSettings;
import org.bergamothoist.core.limit.OrganisationShare;
import org.bergamothoist.core.limit.RetryBudget;
import org.bergamothoist.core.log.CheckpointSettings;
import org.bergamothoist.core.log.CheckpointWriter;
import org.bergamothoist.core.log.FoldResult;
import org.bergamothoist.core.log.LogAppender;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailSettings;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.membership.AddressAnswer;
import org.bergamothoist.core.membership.AddressBook;
import org.bergamothoist.core.membership.HeartbeatSource;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.node.NodeStatus.Configuration;
import org.bergamothoist.core.order.DesiredStatePlanner;
import org.bergamothoist.core.order.LeaseController;
import org.bergamothoist.core.order.LeaseLog;
import org.bergamothoist.core.order.OrderController;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.LoadView;
import org.bergamothoist.core.placement.PlacementSettings;
import org.bergamothoist.core.placement.PrefixAwarePolicy;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.FilterChain;
import org.bergamothoist.core.request.RepeatAwareOutcomeGuard;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceAnswerListener;
import org.bergamothoist.core.request.ServiceExchange;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.stream.ResumeTokenCodec;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;
import org.bergamothoist.core.timeline.Timestamp;

/**
 * The decisions of one daemon. Public methods may be called on any thread; the work is done on the
 * control thread.
 */
public final class RouterNode implements Router {

    private static final Duration TICK = Duration.ofMillis(200);
    private static final int TICKS_PER_SECOND = 5;
    private static final Duration START_JITTER = Duration.ofMillis(200);
    private static final int SNAPSHOT_PEERS = 2;
    private static final Duration RECORD_DEADLINE = Duration.ofSeconds(10);
    private static final String ORDERS_RESOURCE = "orders";
    private static final Duration NEVER = Duration.ofDays(365);

    private final NodeSettings settings;
    private final NodeAdapters adapters;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Timeline timeline;
    private final CountingInvariantMonitor monitor;
    private final NodeMetrics metrics;
    private final SharedState state = new SharedState();
    private final LogTail tail;
    private final LogAppender appender;
    private final CheckpointWriter checkpoints;
    private final ClaimController claims;
    private final CacheIndex index;
    private final LoadView load;
    private final OrganisationShare share;
    private final RetryBudget retryBudget = RetryBudget.standard();
    private final TargetDirectory directory;
    private final EngineReports reports;
    private final CacheSynchroniser synchroniser;
    private final PeerMembership membership;
    private final PeerProtocol peerProtocol;
    private final AddressBook addressBook;
    private final QuarantineController quarantine;
    private final CompletionPlacement placement;
    private final CompletionDispatcher completionDispatcher;
    private final ServiceDispatcher serviceDispatcher;
    private final RequestIntake intake;
    private final SheetController sheets;
    private final OrderController orders;
    private final LeaseController orderLease;
    private final NodeLifecycle lifecycle;
    private final ConfigurationView configurationView;
    private final NodeStatusReporter statusReporter;
    private final DemandMeter<OrganisationId> organisationDemand;
    private final DemandMeter<ModelKey> modelDemand;
    private boolean running;
    private int ticks;

    /** Creates a node, not started yet. */
    public RouterNode(NodeSettings settings, NodeAdapters adapters, Environment environment) {
        this.settings = settings;
        this.adapters = adapters;
        this.scheduler = environment.scheduler();
        this.clock = environment.clock();
        this.random = environment.random();
        this.timeline = environment.timeline();
        this.monitor = environment.monitor();
        this.metrics = new NodeMetrics(environment.metrics());
        this.organisationDemand = new DemandMeter<>(clock);
        this.modelDemand = new DemandMeter<>(clock);
        this.tail =
                new LogTail(
                        adapters.log(), state, scheduler, clock, random, LogTailSettings.DEFAULT);
        this.appender = new LogAppender(adapters.log(), tail, scheduler);
        this.checkpoints =
                new CheckpointWriter(
                        settings.self(),
                        state,
                        tail,
                        appender,
                        scheduler,
                        clock,
                        random,
                        CheckpointSettings.DEFAULT);
        this.claims =
                new ClaimController(
                        settings.self(), adapters.log(), tail, state, scheduler, clock, random);
        this.index = new CacheIndex(CacheIndexSettings.standard(), clock, monitor);
        this.load = new LoadView(loadSettings(settings), clock);
        this.share = new OrganisationShare(clock, OrganisationShare.STANDARD_WINDOW);
        this.directory =
                new TargetDirectory(
                        clock, scheduler, random, adapters.virtualMachines(), monitor, timeline);
        this.reports = new EngineReports(() -> directory.accepting(TargetKind.MODEL_ENGINE));
        this.synchroniser =
                new CacheSynchroniser(
                        SynchroniserSettings.standard(),
                        settings.self(),
                        adapters.engines(),
                        index,
                        this::onReport,
                        scheduler,
                        random);
        this.membership =
                new PeerMembership(
                        settings.self(),
                        settings.peerAddress(),
                        adapters.peers(),
                        scheduler,
                        clock,
                        random,
                        timeline,
                        heartbeatSource(),
                        MembershipSettings.defaults(),
                        directory::observePeerLeaving);
        this.configurationView = new ConfigurationView(settings.self(), state, tail, membership);
        this.peerProtocol =
                new PeerProtocol(
                        new PeerProtocol.Parts(
                                adapters.peers(),
                                membership,
                                state,
                                tail,
                                appender,
                                index,
                                load,
                                share,
                                clock));
        this.addressBook =
                new AddressBook(
                        membership::servingMembers,
                        settings.dataCentre(),
                        settings.addressLifetime());
        this.quarantine =
                new QuarantineController(
                        settings.self(),
                        fingerprint ->
                                state.suspicion(fingerprint).map(Suspicion::losses).orElse(0),
                        peerProtocol,
                        scheduler,
                        clock);
        this.placement =
                new CompletionPlacement(
                        new PrefixAwarePolicy(
                                PlacementSettings.standard(settings.weights()), random),
                        index,
                        load,
                        directory,
                        reports,
                        adapters.engines(),
                        new CompletionPlacement.Reporting(metrics, timeline));
        ResumeTokenCodec tokenCodec = new ResumeTokenCodec(settings.deploymentKey());
        this.completionDispatcher = createCompletionDispatcher(tokenCodec);
        this.serviceDispatcher = createServiceDispatcher();
        this.intake = createIntake(tokenCodec);
        this.sheets = new SheetController(state, appender, clock, configurationView::daemonViews);
        this.orderLease =
                new LeaseController(ORDERS_RESOURCE, settings.self(), leaseLog(), clock, timeline);
        this.orders = createOrders();
        this.lifecycle =
                new NodeLifecycle(
                        new NodeLifecycle.Parts(
                                settings,
                                state,
                                appender,
                                configurationView::configuration,
                                directory::virtualMachines,
                                () -> intake.running().isEmpty() && claims.unsent() == 0,
                                scheduler,
                                clock,
                                timeline));
        this.statusReporter =
                new NodeStatusReporter(
                        new NodeStatusReporter.Parts(
                                settings,
                                lifecycle,
                                configurationView,
                                state,
                                tail,
                                membership,
                                directory,
                                index,
                                load,
                                monitor,
                                () -> intake.running().size()));
        connect();
    }

    /** What a node gets from its process or from a randomised run. */
    public record Environment(
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            MetricRegistry metrics,
            Timeline timeline,
            CountingInvariantMonitor monitor) {

        /** Creates the environment of a process. */
        public static Environment of(
                NodeSettings settings,
                Scheduler scheduler,
                InstantSource clock,
                RandomGenerator random,
                MetricRegistry metrics) {
            Timeline timeline = new BoundedTimeline(settings.self(), clock);
            return new Environment(
                    scheduler,
                    clock,
                    random,
                    metrics,
                    timeline,
                    new CountingInvariantMonitor(metrics, timeline));
        }
    }

    private static LoadSettings loadSettings(NodeSettings settings) {
        LoadSettings standard = LoadSettings.standard();
        return new LoadSettings(
                settings.prefillTokensPerSecond(),
                standard.streamsPerTarget(),
                standard.streamDuration(),
                standard.expiry());
    }

    private CompletionDispatcher createCompletionDispatcher(ResumeTokenCodec tokenCodec) {
        return new CompletionDispatcher(
                new CompletionDispatcher.Parts(
                        adapters.engines(),
                        placement,
                        id -> directory.find(id).map(Map.Entry::getKey),
                        new EngineLossDetector(adapters.engines(), scheduler),
                        quarantine,
                        retryBudget::tryTake,
                        placement,
                        tokenCodec,
                        scheduler,
                        clock,
                        timeline),
                settings.dispatch());
    }

    private ServiceDispatcher createServiceDispatcher() {
        return new ServiceDispatcher(
                adapters.services(),
                new LeastOutstandingServiceChooser(directory, this::serviceOutstanding),
                retryBudget::tryTake,
                target -> directory.observeFailure(target.id(), TargetFailure.Kind.NOT_SENT),
                scheduler,
                settings.dispatch());
    }

    private int serviceOutstanding(TargetId target) {
        return serviceDispatcher.outstanding(target);
    }

    private RequestIntake createIntake(ResumeTokenCodec tokenCodec) {
        AdmissionLimits limits = admissionLimits();
        AdmissionController completions =
                new AdmissionController(AdmissionSettings.standard(), limits, clock, scheduler);
        AdmissionController services =
                new AdmissionController(AdmissionSettings.standard(), limits, clock, scheduler);
        placement.connect(completionDispatcher::runsSuspect, completions);
        ConfigurationFilter configurationFilter =
                new ConfigurationFilter(
                        configurationView::configuration, () -> lifecycle().accepting());
        AuthenticationFilter authentication =
                new AuthenticationFilter(state::organisationByKeyDigest);
        ClaimFilter claimFilter = new ClaimFilter(claims, timeline);
        FilterChain<CompletionExchange> completionChain =
                new FilterChain<>(
                        List.of(
                                configurationFilter,
                                authentication,
                                new SizeFilter(
                                        settings.maximumPromptBytes(), settings.maximumTokens()),
                                new CompletionEntitlementFilter(
                                        new BlockHasher(settings.blockTokens())),
                                this::countCompletion,
                                new QuarantineFilter(quarantine),
                                new AdmissionFilter(completions, placement::hasRoom),
                                claimFilter,
                                completionDispatcher));
        FilterChain<ServiceExchange> serviceChain =
                new FilterChain<>(
                        List.of(
                                configurationFilter,
                                authentication,
                                new ServiceEntitlementFilter(),
                                this::countService,
                                new ServiceLimitFilter(services),
                                claimFilter,
                                serviceDispatcher));
        return new RequestIntake(
                new RequestIntake.Parts(
                        completionChain,
                        serviceChain,
                        new RepeatAwareOutcomeGuard(
                                monitor,
                                () -> configurationView.configuration() == Configuration.FRESH),
                        tokenCodec,
                        monitor,
                        scheduler,
                        clock,
                        random,
                        timeline,
                        metrics));
    }

    /** The lifecycle is created after the filters that ask it. */
    private NodeLifecycle lifecycle() {
        return lifecycle;
    }

    private HeartbeatSource heartbeatSource() {
        return new NodeHeartbeatSource(
                state,
                directory,
                tail,
                load,
                share,
                organisationDemand,
                () -> lifecycle().status());
    }

    private void countCompletion(CompletionExchange exchange, Runnable proceed) {
        organisationDemand.add(exchange.organisationId(), 1);
        modelDemand.add(exchange.modelKey(), exchange.estimatedTokens());
        retryBudget.onRequest();
        proceed.run();
    }

    private void countService(ServiceExchange exchange, Runnable proceed) {
        organisationDemand.add(exchange.organisationId(), 1);
        retryBudget.onRequest();
        proceed.run();
    }

    private AdmissionLimits admissionLimits() {
        return new AdmissionLimits() {
            @Override
            public OrganisationLimits limits(OrganisationId organisation) {
                return state.organisation(organisation)
                        .map(present -> present.entry().limits())
                        .orElse(new OrganisationLimits(0, 0, 1));
            }

            @Override
            public double share(OrganisationId organisation) {
                return share.share(organisation, limits(organisation).requestsPerSecond());
            }
        };
    }

    private LeaseLog leaseLog() {
        return new LeaseLog() {
            @Override
            public Optional<LeaseState> lease(String resource) {
                return state.lease(resource);
            }

            @Override
            public boolean current() {
                return configurationView.configuration() == Configuration.FRESH
                        && tail.isReachable();
            }

            @Override
            public CompletionStage<Long> append(LogRecord record) {
                return appender.append(record, RECORD_DEADLINE);
            }
        };
    }

    private OrderController createOrders() {
        return new OrderController(
                new OrderController.Parts(
                        orderLease,
                        adapters.engines(),
                        adapters.weights(),
                        new DesiredStatePlanner(settings.modelsPerEngine()),
                        reports::views,
                        this::entitledModels,
                        scheduler,
                        clock,
                        timeline));
    }

    /** Returns the demand for each model that a sheet names. */
    private Map<ModelKey, Long> entitledModels() {
        Map<ModelKey, Long> demand = new HashMap<>();
        for (OrganisationState organisation : state.organisations()) {
            organisation.entry().models().forEach(model -> demand.put(model.key(), 0L));
        }
        modelDemand
                .perSecond()
                .forEach((key, tokens) -> demand.computeIfPresent(key, (k, v) -> tokens));
        return demand;
    }

    private void connect() {
        peerProtocol.connect(quarantine);
        directory.onChange(
                (target, targetState) -> {
                    reports.targetsChanged();
                    synchroniser.engines(directory.accepting(TargetKind.MODEL_ENGINE));
                });
        tail.addListener(this::onApplied);
        adapters.peers()
                .receive(
                        (sender, address, message) -> {
                            var receivedAt = clock.instant();
                            scheduler.execute(
                                    () ->
                                            peerProtocol.onMessage(
                                                    sender, address, message, receivedAt));
                        });
    }

    private void onReport(Target target, EngineReport report) {
        directory.observeReport(target.id(), report);
        index.observe(target.id(), report.incarnation());
        load.onReport(target.id(), report.queuedTokens(), report.runningStreams());
        reports.onReport(target, report);
    }

    private void onApplied(LogEntry entry, FoldResult result) {
        if (result instanceof FoldResult.SheetDecided decided) {
            timeline.record(
                    decided.verdict().accepted()
                            ? EventKind.SHEET_APPLIED
                            : EventKind.SHEET_REFUSED,
                    decided.verdict().digest(),
                    "offset " + entry.offset());
        } else if (result instanceof FoldResult.SuspicionsChanged changed) {
            quarantine.onReleased(changed.cleared());
        } else if (result instanceof FoldResult.CheckpointSeen seen) {
            monitor.check(
                    Guarantee.SHEET_DURABILITY,
                    seen.comparison() != FoldResult.Comparison.DIFFERS,
                    () -> "checkpoint at " + entry.offset() + " differs from the own fold");
        }
    }

    @Override
    public StreamHandle complete(CompletionSubmission submission, CompletionListener listener) {
        return intake.complete(submission, listener);
    }

    @Override
    public StreamHandle resume(ResumeSubmission submission, CompletionListener listener) {
        return intake.resume(submission, listener);
    }

    @Override
    public StreamHandle callService(ServiceSubmission submission, ServiceAnswerListener listener) {
        return intake.callService(submission, listener);
    }

    @Override
    public CompletionStage<Boolean> cancel(String callerKey, RequestId requestId) {
        return onControl(() -> cancelRunning(callerKey, requestId));
    }

    private boolean cancelRunning(String callerKey, RequestId requestId) {
        Optional<OrganisationState> organisation =
                state.organisationByKeyDigest(FingerprintCalculator.keyDigest(callerKey));
        if (organisation.isEmpty()) {
            return false;
        }
        OrganisationId id = organisation.get().entry().organisation();
        List<RequestExchange> matching =
                intake.running().stream()
                        .filter(exchange -> exchange.id().equals(requestId))
                        .filter(exchange -> exchange.organisation() != null)
                        .filter(exchange -> exchange.organisationId().equals(id))
                        .toList();
        matching.forEach(
                exchange -> exchange.fail(ErrorCode.CANCELLED, "the caller cancelled the request"));
        return !matching.isEmpty();
    }

    @Override
    public CompletionStage<AddressAnswer> addresses(
            Optional<String> dataCentre, Optional<String> affinity) {
        return onControl(() -> addressBook.answer(dataCentre, affinity));
    }

    @Override
    public CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries) {
        return onControl(() -> sheets.submit(office, operator, entries))
                .thenCompose(stage -> stage);
    }

    @Override
    public CompletionStage<Optional<SheetStatus>> sheetStatus(String digest) {
        return onControl(() -> sheets.status(digest));
    }

    @Override
    public CompletionStage<List<OrganisationState>> organisations() {
        return onControl(() -> List.copyOf(state.organisations()));
    }

    @Override
    public CompletionStage<NodeStatus> status() {
        return onControl(statusReporter::report);
    }

    @Override
    public List<Event> timeline(Timestamp after) {
        return timeline.eventsAfter(after);
    }

    @Override
    public CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator) {
        return onControl(
                        () ->
                                appender.append(
                                        new LogRecord.QuarantineRelease(
                                                List.of(fingerprint), "operator " + operator),
                                        RECORD_DEADLINE))
                .thenCompose(stage -> stage)
                .thenApply(offset -> null);
    }

    @Override
    public CompletionStage<Void> start() {
        scheduler.execute(this::startOnControl);
        return lifecycle.ready();
    }

    private void startOnControl() {
        running = true;
        timeline.record(EventKind.DAEMON_STARTED, settings.self().toString(), "");
        directory.start();
        membership.start();
        checkpoints.start();
        tail.start(Duration.ofMillis(random.nextLong(START_JITTER.toMillis())));
        tick();
    }

    private void tick() {
        if (!running) {
            return;
        }
        scheduler.schedule(TICK, this::tick);
        if (tail.appliedOffset() == 0) {
            requestSnapshots();
        }
        lifecycle.tick();
        if (ticks++ % TICKS_PER_SECOND != 0) {
            return;
        }
        share.daemons(state.roster().size());
        completionDispatcher.checkProgress();
        sheets.tick();
        if (settings.ordersEnabled() && lifecycle.status() == DaemonStatus.SERVING) {
            orders.tick();
        }
    }

    private void requestSnapshots() {
        List<VirtualMachine> peers = new ArrayList<>(directory.virtualMachines());
        peers.removeIf(machine -> machine.role() != VirtualMachine.Role.ENTRY);
        peers.removeIf(
                machine -> (machine.host() + ":" + machine.port()).equals(settings.peerAddress()));
        for (int asked = 0; asked < SNAPSHOT_PEERS && !peers.isEmpty(); asked++) {
            VirtualMachine peer = peers.remove(random.nextInt(peers.size()));
            adapters.peers()
                    .send(peer.host() + ":" + peer.port(), new PeerMessage.SnapshotRequest());
        }
    }

    @Override
    public CompletionStage<Void> stop() {
        return onControl(
                        () -> {
                            orderLease.release();
                            CompletableFuture<Void> stopped = lifecycle.stop();
                            membership.announce();
                            return stopped;
                        })
                .thenCompose(stage -> stage)
                .thenRun(() -> scheduler.execute(this::shutDown));
    }

    private void shutDown() {
        running = false;
        membership.stop();
        directory.stop();
        synchroniser.stop();
        checkpoints.stop();
        tail.stop();
    }

    private <T> CompletionStage<T> onControl(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, scheduler);
    }
}
