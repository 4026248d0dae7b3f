package org.bergamothoist.core.node;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
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
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.limit.AdmissionLimits;
import org.bergamothoist.core.limit.LimitShareCalculator;
import org.bergamothoist.core.log.ApplyResult;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.membership.AddressBook;
import org.bergamothoist.core.membership.DaemonAddresses;
import org.bergamothoist.core.membership.HeartbeatSource;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.order.DesiredStateController;
import org.bergamothoist.core.order.DesiredStatePlanner;
import org.bergamothoist.core.order.LeaseController;
import org.bergamothoist.core.order.LeaseLog;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;
import org.bergamothoist.core.timeline.Timestamp;

/**
 * The routing core of one daemon: creates its components and runs their periodic work. Public
 * methods may be called on any thread; they run their work on the control thread.
 */
public final class RouterNode implements Router {

    /** Interval of the periodic work. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    /** Ticks between two runs of the work that is done once a second. */
    private static final int TICKS_PER_SECOND = 5;

    /** Maximum random delay of the first log read, which spreads daemons that start together. */
    private static final Duration START_JITTER = Duration.ofMillis(200);

    /** Peers that are asked for a snapshot in each tick while no log record has been applied. */
    private static final int SNAPSHOT_REQUESTS_PER_TICK = 2;

    /** Time within which an append to the log must be confirmed. */
    private static final Duration APPEND_DEADLINE = Duration.ofSeconds(10);

    /** Longest wait of a suspect request for the reservation of an engine. */
    private static final Duration RESERVATION_DEADLINE = Duration.ofSeconds(1);

    /** Resource name of the lease whose holder may send orders to targets. */
    private static final String ORDER_LEASE_RESOURCE = "orders";

    private final NodeSettings settings;
    private final NodeAdapters adapters;
    private final Environment environment;
    private final SharedLog log;
    private final TargetTracker targets;
    private final LimitShareCalculator share;
    private final RequestPipeline pipeline;
    private final PeerMembership membership;
    private final PeerMessageHandler peerMessageHandler;
    private final AddressBook addressBook;
    private final LogProgressView logProgress;
    private final SheetController sheets;
    private final LeaseController orderLease;
    private final DesiredStateController orders;
    private final NodeLifecycle lifecycle;
    private final NodeStatusReporter statusReporter;
    private boolean running;
    private int ticks;

    /** Creates a node; {@link #start} starts it. */
    public RouterNode(NodeSettings settings, NodeAdapters adapters, Environment environment) {
        this.settings = settings;
        this.adapters = adapters;
        this.environment = environment;
        this.log = new SharedLog(settings, adapters, environment);
        this.targets = new TargetTracker(settings, adapters, environment);
        this.share =
                new LimitShareCalculator(environment.clock(), LimitShareCalculator.STANDARD_WINDOW);
        this.membership = createMembership();
        this.logProgress =
                new LogProgressView(settings.self(), log.state(), log.tail(), membership);
        this.peerMessageHandler = createPeerMessageHandler();
        this.addressBook =
                new AddressBook(
                        membership::servingMembers,
                        settings.dataCentre(),
                        settings.addressLifetime());
        this.pipeline =
                new RequestPipeline(
                        settings,
                        adapters,
                        environment,
                        log,
                        targets,
                        new RequestPipeline.NodeContext(
                                logProgress::configurationState,
                                () -> lifecycle().accepting(),
                                admissionLimits(),
                                peerMessageHandler,
                                new LeasedTargetReservation(
                                        settings.self(),
                                        leaseLog(RESERVATION_DEADLINE),
                                        environment.clock())));
        this.sheets =
                new SheetController(
                        log.state(), log.appender(), environment.clock(), logProgress::daemonViews);
        this.orderLease =
                new LeaseController(
                        ORDER_LEASE_RESOURCE,
                        settings.self(),
                        leaseLog(APPEND_DEADLINE),
                        environment.clock(),
                        environment.timeline());
        this.orders = createOrders();
        this.lifecycle = createLifecycle();
        this.statusReporter = createStatusReporter();
        connect();
    }

    /** What the hosting process, or a simulation, provides to a node. */
    public record Environment(
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            MetricRegistry metrics,
            Timeline timeline,
            CountingInvariantMonitor monitor) {

        /** Creates the environment of a daemon process. */
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

    private PeerMembership createMembership() {
        HeartbeatSource source =
                new NodeHeartbeatSource(
                        log.state(),
                        targets.directory(),
                        log.tail(),
                        targets.load(),
                        share,
                        () -> pipeline().organisationDemand().sustainedPerSecond(),
                        () -> lifecycle().status());
        return new PeerMembership(
                settings.self(),
                settings.peerAddress(),
                adapters.peers(),
                environment.scheduler(),
                environment.clock(),
                environment.random(),
                environment.timeline(),
                source,
                MembershipSettings.defaults(),
                targets.directory()::observePeerLeaving);
    }

    private PeerMessageHandler createPeerMessageHandler() {
        return new PeerMessageHandler(
                new PeerMessageHandler.Dependencies(
                        adapters.peers(),
                        membership,
                        log.state(),
                        log.tail(),
                        log.appender(),
                        targets.index(),
                        targets.load(),
                        share,
                        environment.clock()));
    }

    private DesiredStateController createOrders() {
        return new DesiredStateController(
                new DesiredStateController.Dependencies(
                        orderLease,
                        adapters.engines(),
                        adapters.weights(),
                        new DesiredStatePlanner(settings.modelsPerEngine()),
                        targets.reports()::recentlyReportedEngines,
                        this::demandByEntitledModel,
                        environment.scheduler(),
                        environment.clock(),
                        environment.timeline()));
    }

    private NodeLifecycle createLifecycle() {
        return new NodeLifecycle(
                new NodeLifecycle.Dependencies(
                        settings,
                        log.state(),
                        log.appender(),
                        logProgress::configurationState,
                        targets.directory()::virtualMachines,
                        () ->
                                pipeline.intake().running().isEmpty()
                                        && log.claims().pendingAppends() == 0,
                        environment.scheduler(),
                        environment.clock(),
                        environment.timeline()));
    }

    private NodeStatusReporter createStatusReporter() {
        return new NodeStatusReporter(
                new NodeStatusReporter.Dependencies(
                        settings,
                        lifecycle,
                        logProgress,
                        log.state(),
                        log.tail(),
                        membership,
                        targets.directory(),
                        targets.index(),
                        targets.load(),
                        environment.monitor(),
                        () -> pipeline.intake().running().size()));
    }

    /** Accessor for components that are created before this one is assigned. */
    private NodeLifecycle lifecycle() {
        return lifecycle;
    }

    private RequestPipeline pipeline() {
        return pipeline;
    }

    private AdmissionLimits admissionLimits() {
        return new AdmissionLimits() {
            @Override
            public OrganisationLimits limits(OrganisationId organisation) {
                return log.state()
                        .organisation(organisation)
                        .map(present -> present.entry().limits())
                        .orElse(new OrganisationLimits(0, 0, 1));
            }

            @Override
            public double share(OrganisationId organisation) {
                return share.share(organisation, limits(organisation).requestsPerSecond());
            }
        };
    }

    private LeaseLog leaseLog(Duration deadline) {
        return new NodeLeaseLog(log, logProgress::configurationState, deadline);
    }

    /**
     * Returns tokens requested per second for each model that a sheet names, 0 if there are none.
     */
    private Map<ModelKey, Long> demandByEntitledModel() {
        Map<ModelKey, Long> demand = new HashMap<>();
        for (OrganisationState organisation : log.state().organisations()) {
            organisation.entry().models().forEach(model -> demand.put(model.key(), 0L));
        }
        pipeline.modelDemand()
                .perSecond()
                .forEach((key, tokens) -> demand.computeIfPresent(key, (k, v) -> tokens));
        return demand;
    }

    private void connect() {
        peerMessageHandler.connect(pipeline.quarantine());
        log.tail().addListener(this::onApplied);
        adapters.peers()
                .setReceiver(
                        (sender, address, message) -> {
                            Instant receivedAt = environment.clock().instant();
                            environment
                                    .scheduler()
                                    .execute(
                                            () ->
                                                    peerMessageHandler.onMessage(
                                                            sender, address, message, receivedAt));
                        });
    }

    private void onApplied(LogEntry entry, ApplyResult result) {
        if (result instanceof ApplyResult.SheetDecided decided) {
            environment
                    .timeline()
                    .record(
                            decided.verdict().accepted()
                                    ? EventKind.SHEET_APPLIED
                                    : EventKind.SHEET_REFUSED,
                            decided.verdict().digest(),
                            "offset " + entry.offset());
        } else if (result instanceof ApplyResult.SuspicionsChanged changed) {
            pipeline.quarantine().onReleased(changed.cleared());
        } else if (result instanceof ApplyResult.CheckpointSeen seen) {
            environment
                    .monitor()
                    .check(
                            Guarantee.SHEET_DURABILITY,
                            seen.comparison() != ApplyResult.Comparison.DIFFERS,
                            () -> "checkpoint at " + entry.offset() + " differs from the own fold");
        }
    }

    @Override
    public StreamHandle complete(CompletionSubmission submission, CompletionListener listener) {
        return pipeline.intake().complete(submission, listener);
    }

    @Override
    public StreamHandle resume(ResumeSubmission submission, CompletionListener listener) {
        return pipeline.intake().resume(submission, listener);
    }

    @Override
    public StreamHandle callService(
            ServiceSubmission submission, ServiceResponseListener listener) {
        return pipeline.intake().callService(submission, listener);
    }

    @Override
    public CompletionStage<Boolean> cancel(String callerKey, RequestId requestId) {
        return onControlThread(() -> cancelRunning(callerKey, requestId));
    }

    private boolean cancelRunning(String callerKey, RequestId requestId) {
        Optional<OrganisationState> organisation =
                log.state().organisationByKeyDigest(FingerprintCalculator.keyDigest(callerKey));
        if (organisation.isEmpty()) {
            return false;
        }
        OrganisationId id = organisation.get().entry().organisation();
        List<RequestExchange> matching =
                pipeline.intake().running().stream()
                        .filter(exchange -> exchange.id().equals(requestId))
                        .filter(exchange -> exchange.organisation() != null)
                        .filter(exchange -> exchange.organisationId().equals(id))
                        .toList();
        matching.forEach(
                exchange -> exchange.fail(ErrorCode.CANCELLED, "the caller cancelled the request"));
        return !matching.isEmpty();
    }

    @Override
    public CompletionStage<DaemonAddresses> addresses(
            Optional<String> dataCentre, Optional<String> affinity) {
        return onControlThread(() -> addressBook.addressesFor(dataCentre, affinity));
    }

    @Override
    public CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries) {
        return onControlThread(() -> sheets.submit(office, operator, entries))
                .thenCompose(stage -> stage);
    }

    @Override
    public CompletionStage<Optional<SheetStatus>> sheetStatus(String digest) {
        return onControlThread(() -> sheets.status(digest));
    }

    @Override
    public CompletionStage<List<OrganisationState>> organisations() {
        return onControlThread(() -> List.copyOf(log.state().organisations()));
    }

    @Override
    public CompletionStage<NodeStatus> status() {
        return onControlThread(statusReporter::report);
    }

    @Override
    public List<Event> timeline(Timestamp after) {
        return environment.timeline().eventsAfter(after);
    }

    @Override
    public CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator) {
        return onControlThread(
                        () ->
                                log.appender()
                                        .append(
                                                new LogRecord.QuarantineRelease(
                                                        List.of(fingerprint),
                                                        "operator " + operator),
                                                APPEND_DEADLINE))
                .thenCompose(stage -> stage)
                .thenApply(offset -> null);
    }

    @Override
    public CompletionStage<Void> start() {
        environment.scheduler().execute(this::startOnControlThread);
        return lifecycle.ready();
    }

    private void startOnControlThread() {
        running = true;
        environment.timeline().record(EventKind.DAEMON_STARTED, settings.self().toString(), "");
        targets.start();
        membership.start();
        log.start(Duration.ofMillis(environment.random().nextLong(START_JITTER.toMillis())));
        tick();
    }

    private void tick() {
        if (!running) {
            return;
        }
        environment.scheduler().schedule(TICK_INTERVAL, this::tick);
        if (log.tail().appliedOffset() == 0) {
            requestSnapshots();
        }
        lifecycle.tick();
        if (ticks++ % TICKS_PER_SECOND != 0) {
            return;
        }
        share.setDaemonCount(log.state().roster().size());
        pipeline.failStalledAttempts();
        sheets.tick();
        if (settings.ordersEnabled() && lifecycle.status() == DaemonStatus.SERVING) {
            orders.tick();
        }
    }

    private void requestSnapshots() {
        List<VirtualMachine> peers = new ArrayList<>(targets.directory().virtualMachines());
        peers.removeIf(vm -> vm.role() != VirtualMachine.Role.ENTRY);
        peers.removeIf(vm -> (vm.host() + ":" + vm.port()).equals(settings.peerAddress()));
        for (int asked = 0; asked < SNAPSHOT_REQUESTS_PER_TICK && !peers.isEmpty(); asked++) {
            VirtualMachine peer = peers.remove(environment.random().nextInt(peers.size()));
            adapters.peers()
                    .send(peer.host() + ":" + peer.port(), new PeerMessage.SnapshotRequest());
        }
    }

    @Override
    public CompletionStage<Void> stop() {
        return onControlThread(
                        () -> {
                            orderLease.release();
                            CompletableFuture<Void> stopped = lifecycle.stop();
                            membership.announce();
                            return stopped;
                        })
                .thenCompose(stage -> stage)
                .thenRun(() -> environment.scheduler().execute(this::shutDown));
    }

    private void shutDown() {
        environment
                .monitor()
                .check(
                        Guarantee.GRACEFUL_STOP,
                        pipeline.intake().running().isEmpty() || lifecycle.stopDeadlinePassed(),
                        () -> pipeline.intake().running().size() + " requests are cut by a stop");
        running = false;
        membership.stop();
        targets.stop();
        log.stop();
    }

    private <T> CompletionStage<T> onControlThread(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, environment.scheduler());
    }
}
