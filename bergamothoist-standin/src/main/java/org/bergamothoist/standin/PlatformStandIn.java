package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.platform.VirtualMachine.Role;
import org.bergamothoist.core.platform.VirtualMachine.State;

/** All outside systems of one deployment, in one process on loopback. */
public final class PlatformStandIn implements AutoCloseable {

    /** Address of all stand-ins. */
    public static final String HOST = "127.0.0.1";

    /** Group of the daemons' VMs. */
    public static final String ENTRY_GROUP = "entry";

    private final Deployment deployment;
    private final EventLoopGroup group;
    private final LogStandIn log;
    private final VirtualMachineListStandIn machines;
    private final WeightStoreStandIn weightStore;
    private final CacheStoreStandIn cacheStore;
    private final PlatformControl control;
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<PlainServiceStandIn> services = new ArrayList<>();

    private PlatformStandIn(Deployment deployment, PlatformSettings settings, InstantSource clock) {
        this.deployment = deployment;
        this.group =
                new MultiThreadIoEventLoopGroup(
                        settings.eventLoops(),
                        new DefaultThreadFactory("stand-in", true),
                        NioIoHandler.newFactory());
        this.log = new LogStandIn(group, settings.log(), clock);
        this.machines = new VirtualMachineListStandIn(group, settings.listLag(), clock);
        this.weightStore = new WeightStoreStandIn(group, settings.loadTime(), clock);
        this.cacheStore = new CacheStoreStandIn(group, settings.cacheStoreBytes());
        settings.engine().models().forEach(weightStore::add);
        startEngines(settings.engine(), clock);
        startServices();
        this.control = new PlatformControl(group, this);
    }

    /** Starts the deployment with default settings. */
    public static PlatformStandIn start(Deployment deployment, InstantSource clock) {
        return start(deployment, PlatformSettings.defaults(deployment.model()), clock);
    }

    /** Starts the deployment. Engines and services are on the list of VMs. */
    public static PlatformStandIn start(
            Deployment deployment, PlatformSettings settings, InstantSource clock) {
        return new PlatformStandIn(deployment, settings, clock);
    }

    /** Returns the deployment's sizes and names. */
    public Deployment deployment() {
        return deployment;
    }

    /** Returns the log. */
    public LogStandIn log() {
        return log;
    }

    /** Returns the list of VMs. */
    public VirtualMachineListStandIn machines() {
        return machines;
    }

    /** Returns the weight store. */
    public WeightStoreStandIn weightStore() {
        return weightStore;
    }

    /** Returns the KV cache store. */
    public CacheStoreStandIn cacheStore() {
        return cacheStore;
    }

    /** Returns the TCP port at which another process can cause faults and read counts. */
    public int controlPort() {
        return control.port();
    }

    /** Returns the engines in the order of their numbers, from 1 on. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /** Returns the plain services in the order of their numbers, from 1 on. */
    public List<PlainServiceStandIn> services() {
        return List.copyOf(services);
    }

    /** Adds weights to the weight store, so that engines can be ordered to load them. */
    public void publishWeights(ModelKey key) {
        weightStore.add(key);
    }

    /** Adds a daemon's VM to the list. */
    public void registerDaemon(String name, int peerPort, String dataCentre) {
        machines.register(
                new VirtualMachine(
                        name, Role.ENTRY, ENTRY_GROUP, HOST, peerPort, dataCentre, State.LIVE));
    }

    /** Marks a daemon's VM as leaving. */
    public void daemonLeaving(String name) {
        machines.leaving(name);
    }

    /** Removes a daemon's VM from the list. */
    public void removeDaemon(String name) {
        machines.remove(name);
    }

    /** Marks an engine as leaving, in its own report and on the list. */
    public void engineLeaving(EngineStandIn engine) {
        engine.leaving();
        machines.leaving(engine.name());
    }

    /** Returns the sum of all engines' counters. */
    public EngineCounters counters() {
        return engines.stream()
                .map(EngineStandIn::counters)
                .reduce(EngineCounters.ZERO, EngineCounters::plus);
    }

    /** Returns how often engines and services ran the request in all. */
    public int executions(String requestId) {
        return engines.stream().mapToInt(engine -> engine.executions(requestId)).sum()
                + services.stream().mapToInt(service -> service.executions(requestId)).sum();
    }

    @Override
    public void close() {
        control.close();
        engines.forEach(EngineStandIn::close);
        services.forEach(PlainServiceStandIn::close);
        log.close();
        machines.close();
        weightStore.close();
        cacheStore.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void startEngines(EngineSettings settings, InstantSource clock) {
        CacheDirectory directory = new CacheDirectory();
        for (int index = 0; index < deployment.engines(); index++) {
            String name = deployment.engineGroup() + "-" + (index + 1);
            EngineStandIn engine =
                    new EngineStandIn(
                            group,
                            name,
                            settings.withSeed(settings.seed() + index),
                            clock,
                            weightStore,
                            cacheStore,
                            directory);
            engines.add(engine);
            register(name, Role.MODEL_ENGINE, deployment.engineGroup(), engine.port(), index);
        }
    }

    private void startServices() {
        for (int index = 0; index < deployment.services(); index++) {
            String name = deployment.serviceGroup() + "-" + (index + 1);
            PlainServiceStandIn service = new PlainServiceStandIn(group, name);
            services.add(service);
            register(name, Role.PLAIN_SERVICE, deployment.serviceGroup(), service.port(), index);
        }
    }

    private void register(String name, Role role, String groupName, int port, int index) {
        String dataCentre = deployment.dataCentre(index);
        machines.preset(
                new VirtualMachine(name, role, groupName, HOST, port, dataCentre, State.LIVE));
    }
}
