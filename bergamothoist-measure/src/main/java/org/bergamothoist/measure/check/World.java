package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.core.sheet.SheetDigest;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** All parts of one run: daemons, outside systems, callers, operators and oracles. */
final class World {

    static final int PROGRAMS = 6;
    static final List<OrganisationId> ORGANISATIONS =
            List.of(
                    new OrganisationId("clinic"),
                    new OrganisationId("hotel"),
                    new OrganisationId("workshop"));
    static final String MODEL = "atelier-llm";
    static final String SERVICE = "bench";

    /** Variant of a sheet whose limits no run reaches. */
    private static final int UNLIMITED = 10_001;

    /** Time at which all faults have ended. */
    static final Duration HEAL = Duration.ofSeconds(46);

    /** Time after which callers and operators repeat nothing. */
    private static final Duration CLOSE = Duration.ofSeconds(52);

    private static final Duration END = Duration.ofSeconds(80);
    private static final Duration SLICE = Duration.ofSeconds(1);
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofMillis(1_700);
    private static final Instant START = Instant.parse("2026-03-02T08:00:00Z");
    private static final int MAXIMUM_SKEW_MILLISECONDS = 500;
    private static final int ENGINES = 4;
    private static final int SERVICES = 3;

    /** Records after the checkpoint with which the next one soon is due. */
    private static final int RECORDS_NEAR_CHECKPOINT = 960;

    private static final int LOST_TARGETS_BOUND = 2;
    private static final Duration RESTART = Duration.ofMillis(1_500);

    private final Plan plan;
    private final Interposition interposition;
    private final SplittableRandom random;
    private final VirtualTimeScheduler time = new VirtualTimeScheduler(START);
    private final RunLog log;
    private final FakeLog logService;
    private final FakeMachineList machines;
    private final FakePeerNetwork network;
    private final RequestLedger ledger;
    private final LeavingOracle leavingOracle;
    private final SheetOracle sheetOracle;
    private final FakeEngine.EngineLoading loading;
    private final List<DaemonHost> hosts = new ArrayList<>();
    private final Map<String, FakeEngine> engines = new TreeMap<>();
    private final Map<String, FakeService> services = new TreeMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final List<CallerProgram> programs = new ArrayList<>();
    private final List<Operator> offices;
    private final List<RequestLife> harmless = new ArrayList<>();
    private final Map<String, Integer> lostTargets = new TreeMap<>();
    private Instant machineListDownAt = Instant.MIN;
    private int nextMachine = 1;

    private World(Plan plan, Interposition interposition) {
        this.plan = plan;
        this.interposition = interposition;
        this.random = new SplittableRandom(plan.seed());
        this.log = new RunLog(time, plan.seed());
        this.logService = new FakeLog(time, random);
        this.machines = new FakeMachineList(time, random);
        this.network = new FakePeerNetwork(time, random);
        this.ledger = new RequestLedger(log);
        this.leavingOracle = new LeavingOracle(time, log, network);
        this.sheetOracle = new SheetOracle(time, log, logService);
        this.loading = new FakeEngine.EngineLoading(log);
        this.offices = List.of(new Operator(this, "biel"), new Operator(this, "bern"));
    }

    /** Executes a plan and returns what happened. */
    static RunLog run(Plan plan, Interposition interposition) {
        World world = new World(plan, interposition);
        world.prepare();
        world.schedule();
        world.advance();
        world.finish();
        return world.log;
    }

    private void prepare() {
        int variant = plan.quiet() ? UNLIMITED : 1;
        List<OrganisationEntry> entries =
                ORGANISATIONS.stream()
                        .map(organisation -> entry(organisation, 0, variant))
                        .toList();
        logService.add(
                new LogRecord.SheetSubmission(SheetDigest.of(entries), "biel", "planner", entries));
        logService.add(checkpoint());
        logService.expireCovered();
        for (int record = 0; plan.checkpointDue() && record < RECORDS_NEAR_CHECKPOINT; record++) {
            logService.add(new LogRecord.Unknown("earlier record"));
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            addEngine();
        }
        for (int service = 0; service < SERVICES; service++) {
            addService();
        }
        for (int daemon = 0; daemon < plan.daemons(); daemon++) {
            addHost();
        }
        for (int program = 0; program < PROGRAMS; program++) {
            programs.add(new CallerProgram(this, program % 2 == 0 ? "biel-a" : "bern-b"));
        }
        observeSnapshots();
    }

    private LogRecord.Checkpoint checkpoint() {
        SharedState state = logService.reference();
        return new LogRecord.Checkpoint(
                new DaemonId("earlier", 1),
                state.appliedOffset(),
                SharedState.digest(state.snapshot()),
                state.snapshot());
    }

    static String key(OrganisationId organisation) {
        return "key of " + organisation;
    }

    /** Returns the content of a sheet for an organisation. */
    static OrganisationEntry entry(OrganisationId organisation, long baseVersion, int variant) {
        List<ModelEntitlement> models = new ArrayList<>();
        models.add(new ModelEntitlement(new ModelKey(MODEL, ModelKey.NO_ADAPTER, "v1"), false));
        if (variant % 3 == 0) {
            models.add(new ModelEntitlement(new ModelKey(MODEL, ModelKey.NO_ADAPTER, "v2"), false));
        }
        return new OrganisationEntry(
                organisation,
                baseVersion,
                FingerprintCalculator.keyDigest(key(organisation)),
                models,
                List.of(
                        new ServiceEntitlement(SERVICE, "/book", true),
                        new ServiceEntitlement(SERVICE, "/lookup", false)),
                new OrganisationLimits(variant % 4 == 2 ? 4 : 100 + variant, 200, 1));
    }

    private void schedule() {
        FaultInjector injector = new FaultInjector(this);
        for (Step step : plan.steps()) {
            time.schedule(step.at(), () -> begin(step, injector));
        }
    }

    private void begin(Step step, FaultInjector injector) {
        if (step instanceof Step.Fault fault) {
            injector.begin(fault);
        } else if (step instanceof Step.Completion completion) {
            log.count("completions");
            begin(new CompletionLife(this, completion), completion.marker().isEmpty());
        } else if (step instanceof Step.ServiceCall call) {
            log.count("service-calls");
            begin(new ServiceLife(this, call), !call.path().contains(FakeEngine.CRASHING));
        } else if (step instanceof Step.Sheet sheet) {
            offices.get(sheet.office()).begin(sheet);
        }
    }

    private void begin(RequestLife life, boolean isHarmless) {
        if (isHarmless) {
            harmless.add(life);
        }
        life.begin();
    }

    private void advance() {
        while (log.now().compareTo(END) < 0) {
            time.advance(SLICE);
        }
    }

    /** Asks daemons for snapshots now and then, as a starting daemon would. */
    private void observeSnapshots() {
        DaemonId observer = new DaemonId("observer", 1);
        SimulatedProcess process = new SimulatedProcess("observer", time, log);
        PeerNetwork access = network.connect(observer, "10.0.9.1:7000", process);
        access.setReceiver(
                (sender, address, message) -> {
                    if (message instanceof PeerMessage.SnapshotAnswer answer) {
                        sheetOracle.snapshot(sender.toString(), answer.state());
                    }
                });
        process.schedule(SNAPSHOT_INTERVAL, () -> ask(process, access));
    }

    private void ask(SimulatedProcess process, PeerNetwork access) {
        DaemonHost host = hosts.get(random.nextInt(hosts.size()));
        access.send(host.peerAddress(), new PeerMessage.SnapshotRequest());
        process.schedule(SNAPSHOT_INTERVAL, () -> ask(process, access));
    }

    private void finish() {
        for (DaemonHost host : hosts) {
            if (host.alive() && !host.stopping()) {
                host.open().stream()
                        .filter(OpenSending::accepted)
                        .forEach(
                                sending ->
                                        log.violated(
                                                Property.STREAM_ORDER,
                                                sending + " has no outcome at the end"));
                host.node()
                        .status()
                        .thenAccept(
                                status ->
                                        log.check(
                                                Property.STREAM_ORDER,
                                                status.runningRequests() == 0,
                                                host.self()
                                                        + " still runs "
                                                        + status.runningRequests()
                                                        + " requests"));
            }
        }
        time.runDueTasks();
        if (plan.quiet()) {
            harmless.forEach(this::judge);
        }
    }

    private void judge(RequestLife life) {
        if (OpenSending.code(life.firstOutcome()) == ErrorCode.LIMIT_EXCEEDED) {
            // The rate limit refused it before it could be in a batch.
            return;
        }
        log.check(
                Property.CRASHING_CONTENT,
                life.firstOutcome() instanceof Outcome.Answered,
                "innocent request " + life.id() + " ended with " + life.firstOutcome());
    }

    private void contentLost(String content) {
        String marker = content.substring(content.indexOf(FakeEngine.CRASHING));
        int lost = lostTargets.merge(marker, 1, Integer::sum);
        boolean peersReachable = network.disturbedAt().equals(Instant.MIN);
        log.check(
                Property.CRASHING_CONTENT,
                !peersReachable || lost <= LOST_TARGETS_BOUND,
                marker + " has cost " + lost + " targets");
    }

    void addHost() {
        Duration skew = Duration.ofMillis(random.nextInt(MAXIMUM_SKEW_MILLISECONDS));
        DaemonHost host = new DaemonHost(this, interposition, nextMachine++, skew);
        hosts.add(host);
        machines.put(host.machine());
        time.schedule(Duration.ofMillis(random.nextInt(200)), host::start);
    }

    void addEngine() {
        String name = "engine-" + nextMachine;
        FakeEngine engine =
                new FakeEngine(name, time, log, loading, this::engineLost, plan.seed() % 2 == 0);
        engine.start(models(true));
        engines.put(name, engine);
        machines.put(machine(name, VirtualMachine.Role.MODEL_ENGINE, MODEL));
    }

    private void engineLost(FakeEngine engine, String prompt) {
        contentLost(prompt);
        time.schedule(Duration.ZERO, () -> restartEngine(engine, RESTART, true));
    }

    private void serviceLost(FakeService service, String path) {
        contentLost(path);
        time.schedule(RESTART, service::start);
    }

    private static Set<ModelKey> models(boolean present) {
        return present ? Set.of(new ModelKey(MODEL, ModelKey.NO_ADAPTER, "v1")) : Set.of();
    }

    /** Starts a crashed engine again unless it has left. */
    void restartEngine(FakeEngine engine, Duration delay, boolean keepsModels) {
        time.schedule(
                delay,
                () -> {
                    if (!engine.alive() && engines.containsValue(engine)) {
                        engine.start(models(keepsModels));
                    }
                });
    }

    void addService() {
        String name = "bench-" + nextMachine;
        services.put(name, new FakeService(name, time, log, random, this::serviceLost));
        machines.put(machine(name, VirtualMachine.Role.PLAIN_SERVICE, SERVICE));
    }

    private VirtualMachine machine(String name, VirtualMachine.Role role, String group) {
        return new VirtualMachine(
                name,
                role,
                group,
                "10.0.2." + nextMachine++,
                9_000,
                "biel-a",
                VirtualMachine.State.LIVE);
    }

    void leave(String name) {
        leaving.add(name);
        machines.markLeaving(name);
    }

    /** Returns the names that are not leaving. */
    List<String> staying(Set<String> names) {
        return names.stream().filter(name -> !leaving.contains(name)).toList();
    }

    void received(OrganisationId organisation, RequestId id, TargetId target, String daemon) {
        log.count("received-by-targets");
        log.note(target + " received " + id + " from " + daemon);
        ledger.received(organisation, id, target.value(), daemon);
    }

    Plan plan() {
        return plan;
    }

    VirtualTimeScheduler time() {
        return time;
    }

    RandomGenerator random() {
        return random;
    }

    RunLog log() {
        return log;
    }

    FakeLog logService() {
        return logService;
    }

    FakeMachineList machines() {
        return machines;
    }

    FakePeerNetwork network() {
        return network;
    }

    RequestLedger ledger() {
        return ledger;
    }

    LeavingOracle leavingOracle() {
        return leavingOracle;
    }

    SheetOracle sheetOracle() {
        return sheetOracle;
    }

    List<DaemonHost> hosts() {
        return hosts;
    }

    Optional<DaemonHost> hostAt(String callerAddress) {
        return hosts.stream()
                .filter(host -> host.callerAddress().equals(callerAddress))
                .findFirst();
    }

    Map<String, FakeEngine> engines() {
        return engines;
    }

    FakeEngine engine(TargetId target) {
        return engines.get(target.value());
    }

    Map<String, FakeService> services() {
        return services;
    }

    /** Returns whether the process of an engine or a service runs. */
    boolean isAlive(TargetId target) {
        FakeEngine engine = engine(target);
        FakeService service = service(target);
        return engine != null && engine.alive() || service != null && service.alive();
    }

    FakeService service(TargetId target) {
        return services.get(target.value());
    }

    CallerProgram program(int number) {
        return programs.get(number);
    }

    void noteMachineListDown() {
        machineListDownAt = time.instant();
    }

    Instant machineListDownAt() {
        return machineListDownAt;
    }

    /** Returns whether all faults have ended. */
    boolean healed() {
        return log.now().compareTo(HEAL) >= 0;
    }

    /** Returns whether callers and operators begin nothing more. */
    boolean closing() {
        return log.now().compareTo(CLOSE) >= 0;
    }
}
