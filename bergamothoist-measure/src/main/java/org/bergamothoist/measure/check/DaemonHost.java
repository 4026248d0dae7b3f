package org.bergamothoist.measure.check;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.dispatch.DispatchSettings;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.node.NodeAdapters;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.node.RouterNode;
import org.bergamothoist.core.placement.PlacementWeights;
import org.bergamothoist.core.platform.VirtualMachine;

/** An entry VM and the daemon that runs on it, one incarnation after another. */
final class DaemonHost {

    private static final Duration STOP_DEADLINE = Duration.ofSeconds(15);
    private static final Duration ADDRESS_LIFETIME = Duration.ofSeconds(5);

    /** Bound of G3. */
    private static final Duration WARM_START = Duration.ofSeconds(5);

    private static final byte[] DEPLOYMENT_KEY = "randomised-check".getBytes();
    private static final int PEER_PORT = 7_000;
    private static final int CALLER_PORT = 8_080;
    static final int BLOCK_TOKENS = 16;
    private static final int PREFILL_TOKENS_PER_SECOND = 4_000;
    private static final int IMPORT_TOKENS_PER_SECOND = 40_000;
    private static final int MODELS_PER_ENGINE = 2;

    private final World world;
    private final Interposition interposition;
    private final String name;
    private final String address;
    private final String dataCentre;
    private final Duration skew;
    private final Set<OpenSending> open = new LinkedHashSet<>();
    private SimulatedProcess process;
    private RouterNode node;
    private DaemonId self;
    private Instant startedAt = Instant.MIN;
    private Instant disturbedAt = Instant.MIN;
    private Instant stopBegan;
    private boolean ready;
    private boolean gone;

    DaemonHost(World world, Interposition interposition, int number, Duration skew) {
        this.world = world;
        this.interposition = interposition;
        this.name = "entry-" + number;
        this.address = "10.0.1." + number;
        this.dataCentre = number % 2 == 0 ? "biel-a" : "bern-b";
        this.skew = skew;
    }

    VirtualMachine machine() {
        return new VirtualMachine(
                name,
                VirtualMachine.Role.ENTRY,
                "entry",
                address,
                PEER_PORT,
                dataCentre,
                VirtualMachine.State.LIVE);
    }

    String name() {
        return name;
    }

    String callerAddress() {
        return address + ":" + CALLER_PORT;
    }

    String peerAddress() {
        return address + ":" + PEER_PORT;
    }

    String dataCentre() {
        return dataCentre;
    }

    RouterNode node() {
        return node;
    }

    DaemonId self() {
        return self;
    }

    SimulatedProcess process() {
        return process;
    }

    boolean alive() {
        return process != null && process.alive();
    }

    boolean stopping() {
        return stopBegan != null;
    }

    /** Returns the daemon's time, which differs from the true one. */
    Instant clock() {
        return world.time().instant().plus(skew);
    }

    boolean runsUndisturbed(String daemon, Instant since) {
        return alive()
                && process.running()
                && ready
                && self.toString().equals(daemon)
                && startedAt.isBefore(since)
                && disturbedAt.isBefore(since);
    }

    /** Notes that the VM is gone for good. */
    void retire() {
        gone = true;
    }

    boolean retired() {
        return gone;
    }

    void start() {
        if (gone || alive()) {
            return;
        }
        startedAt = world.time().instant();
        stopBegan = null;
        ready = false;
        InstantSource clock = this::clock;
        self = new DaemonId(name, clock.instant().toEpochMilli());
        process = new SimulatedProcess(self.toString(), world.time(), world.log());
        CacheOracle cacheOracle = new CacheOracle(self.toString(), world.log());
        NodeSettings settings = interposition.settings(settings());
        ObservingTimeline timeline = new ObservingTimeline(self, clock, world.log(), cacheOracle);
        MetricRegistry metrics = new MetricRegistry();
        node =
                new RouterNode(
                        settings,
                        adapters(settings, cacheOracle),
                        new RouterNode.Environment(
                                process,
                                clock,
                                new SplittableRandom(world.plan().seed() ^ self.hashCode()),
                                metrics,
                                timeline,
                                new CountingInvariantMonitor(metrics, timeline, true)));
        world.leavingOracle().started(self.toString(), this);
        world.log().note(self + " starts");
        SimulatedProcess started = process;
        node.start()
                .thenRun(
                        () -> {
                            if (started == process) {
                                ready = true;
                                world.log().note(self + " serves");
                            }
                        });
        world.time().schedule(WARM_START, () -> checkWarmStart(started));
    }

    private NodeSettings settings() {
        return new NodeSettings(
                self,
                name,
                peerAddress(),
                callerAddress(),
                dataCentre,
                DEPLOYMENT_KEY,
                BLOCK_TOKENS,
                PlacementWeights.BRUNNER,
                10_000,
                100,
                ADDRESS_LIFETIME,
                STOP_DEADLINE,
                MODELS_PER_ENGINE,
                PREFILL_TOKENS_PER_SECOND,
                IMPORT_TOKENS_PER_SECOND,
                true,
                new DispatchSettings(
                        6,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(4),
                        Duration.ofMinutes(5),
                        Duration.ofSeconds(20)));
    }

    private NodeAdapters adapters(NodeSettings settings, CacheOracle cacheOracle) {
        String daemon = self.toString();
        return new NodeAdapters(
                interposition.log(settings, world.logService().client(name, process)),
                interposition.machines(
                        settings,
                        world.machines()
                                .client(
                                        process,
                                        list -> world.leavingOracle().shown(daemon, list))),
                interposition.engines(
                        settings, new EngineAccess(world, daemon, process, cacheOracle)),
                interposition.services(settings, new ServiceAccess(world, daemon, process)),
                key -> answer(true),
                (organisation, key, chain) -> answer(0),
                interposition.peers(
                        settings, world.network().connect(self, peerAddress(), process)));
    }

    private <T> CompletableFuture<T> answer(T value) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        process.schedule(Connection.LATENCY, () -> answer.complete(value));
        return answer;
    }

    /** G3: a daemon serves 5 s after its start if the log or a majority of its peers answers. */
    private void checkWarmStart(SimulatedProcess started) {
        boolean undisturbed =
                started == process && process.running() && disturbedAt.isBefore(startedAt);
        if (ready || !undisturbed || stopping()) {
            return;
        }
        boolean log =
                !world.logService().hinders(name) && isBefore(world.logService().hinderedAt());
        world.log()
                .check(
                        Property.WARM_RESTART,
                        !log && !peersAnswer(),
                        self + " does not serve 5 s after its start, log answered: " + log);
    }

    private boolean isBefore(Instant disturbance) {
        return disturbance.isBefore(startedAt);
    }

    private boolean peersAnswer() {
        long serving =
                world.hosts().stream()
                        .filter(host -> host != this && host.alive() && !host.stopping())
                        .filter(host -> host.runsUndisturbed(host.self.toString(), startedAt))
                        .count();
        int roster = world.logService().reference().roster().size();
        return serving * 2 > roster
                && !world.network().disturbed()
                && isBefore(world.network().disturbedAt())
                && world.machines().down == 0
                && isBefore(world.machineListDownAt());
    }

    void crash() {
        if (!alive()) {
            return;
        }
        world.log().note(self + " crashes");
        end();
    }

    private void end() {
        process.kill();
        List<OpenSending> cut = List.copyOf(open);
        open.clear();
        cut.forEach(sending -> world.time().schedule(Connection.LATENCY, sending::connectionLost));
    }

    void pause() {
        if (alive()) {
            world.log().note(self + " is paused");
            disturbedAt = world.time().instant();
            process.pause();
        }
    }

    void resume() {
        if (alive()) {
            disturbedAt = world.time().instant();
            process.resume();
        }
    }

    /** Stops the daemon as planned. */
    void stop(Runnable afterwards) {
        if (!alive() || stopping()) {
            return;
        }
        world.log().note(self + " is stopped as planned");
        stopBegan = world.time().instant();
        SimulatedProcess stopped = process;
        process.execute(
                () ->
                        node.stop()
                                .thenRun(
                                        () -> {
                                            if (stopped == process && alive()) {
                                                exit();
                                                afterwards.run();
                                            }
                                        }));
    }

    private void exit() {
        world.log().note(self + " exits");
        Duration taken = Duration.between(stopBegan, world.time().instant());
        if (taken.compareTo(STOP_DEADLINE) < 0) {
            open.stream()
                    .filter(OpenSending::accepted)
                    .forEach(
                            sending ->
                                    world.log()
                                            .violated(
                                                    Property.GRACEFUL_STOP,
                                                    self + " exits and cuts " + sending));
        }
        end();
    }

    /** Notes a sending that has not ended. */
    void opened(OpenSending sending) {
        open.add(sending);
    }

    void closed(OpenSending sending) {
        open.remove(sending);
    }

    Set<OpenSending> open() {
        return open;
    }
}
