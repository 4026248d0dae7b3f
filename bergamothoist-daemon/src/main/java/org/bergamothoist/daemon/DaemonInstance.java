package org.bergamothoist.daemon;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.codahale.metrics.jvm.ThreadStatesGaugeSet;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Module;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.node.NodeAdapters;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.platform.CacheStore;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.platform.WeightStore;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.daemon.adapter.OutboundHttp;
import org.bergamothoist.daemon.runtime.ControlThread;
import org.bergamothoist.daemon.runtime.RouterGate;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.NetworkAddress;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** A running daemon. Several can run in one process. */
public final class DaemonInstance {

    private static final Logger LOGGER = LogManager.getLogger(DaemonInstance.class);
    private static final String CALLER_CONNECTOR = "application";
    private static final String ADMIN_CONNECTOR = "admin";

    /** Time for the last record and the closing of connections after the stop deadline. */
    private static final Duration STOP_MARGIN = Duration.ofSeconds(10);

    private final Injector injector;
    private final MetricRegistry metrics = new MetricRegistry();
    private final CompletableFuture<Void> ready = new CompletableFuture<>();
    private DaemonSettings settings;
    private Server server;
    private PeerTransport transport;
    private CompletableFuture<Void> stopped;
    private CompletionStage<Void> stoppedStage;

    private DaemonInstance(DaemonSettings settings, Module parts) {
        this.settings = settings;
        injector = Guice.createInjector(new DaemonModule(settings, metrics), parts);
        metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
        metrics.registerAll("jvm.gc", new GarbageCollectorMetricSet());
        metrics.registerAll("jvm.threads", new ThreadStatesGaugeSet());
    }

    /**
     * Starts a daemon: binds its addresses, then starts its router, which goes on in the
     * background.
     *
     * @param parts binds {@link RouterFactory}, {@link PeerTransport.Factory} and parser and
     *     printer of sheets
     * @throws DaemonException if an address cannot be bound or a part cannot be created
     */
    public static DaemonInstance start(DaemonSettings settings, Module parts) {
        DaemonInstance daemon;
        try {
            daemon = new DaemonInstance(settings, parts);
        } catch (RuntimeException exception) {
            throw new DaemonException(
                    "parts of the daemon are missing or wrong: " + exception.getMessage(),
                    exception);
        }
        try {
            daemon.open();
        } catch (Exception exception) {
            daemon.close();
            throw new DaemonException(
                    "daemon " + settings.daemon() + " cannot start: " + exception.getMessage(),
                    exception);
        }
        return daemon;
    }

    private void open() throws Exception {
        server = listen();
        NetworkAddress caller = bound(settings.callerAddress(), CALLER_CONNECTOR);
        NetworkAddress admin = bound(settings.adminAddress(), ADMIN_CONNECTOR);
        DaemonId daemon = injector.getInstance(DaemonId.class);
        transport = injector.getInstance(PeerTransport.Factory.class).open(daemon, settings);
        NetworkAddress peer = settings.peerAddress().withPort(transport.port());
        settings = settings.withAddresses(caller, admin, peer);
        Router router =
                injector.getInstance(RouterFactory.class)
                        .create(
                                daemon,
                                adapters(),
                                settings,
                                injector.getInstance(Scheduler.class),
                                injector.getInstance(InstantSource.class));
        injector.getInstance(RouterGate.class).open(router);
        router.start().whenComplete(this::started);
        LOGGER.info("daemon {} listens for callers on {}", daemon, caller);
    }

    private Server listen() throws Exception {
        DaemonConfiguration configuration = DaemonConfiguration.of(settings);
        DaemonApplication application = new DaemonApplication(injector, this::isReady);
        Bootstrap<DaemonConfiguration> bootstrap = new Bootstrap<>(application);
        application.initialize(bootstrap);
        Environment environment =
                new Environment(
                        settings.daemon(),
                        bootstrap.getObjectMapper(),
                        bootstrap.getValidatorFactory(),
                        metrics,
                        bootstrap.getClassLoader(),
                        bootstrap.getHealthCheckRegistry(),
                        configuration);
        configuration.getServerFactory().configure(environment);
        bootstrap.run(configuration, environment);
        application.run(configuration, environment);
        Server built = configuration.getServerFactory().build(environment);
        // Dropwizard asks for the opposite, which cuts all streams when the process is terminated.
        built.setStopAtShutdown(false);
        try {
            built.start();
        } catch (Exception exception) {
            built.stop();
            throw exception;
        }
        return built;
    }

    private NetworkAddress bound(NetworkAddress address, String connector) {
        return Arrays.stream(server.getConnectors())
                .filter(candidate -> connector.equals(candidate.getName()))
                .map(candidate -> ((ServerConnector) candidate).getLocalPort())
                .map(address::withPort)
                .findFirst()
                .orElseThrow();
    }

    private NodeAdapters adapters() {
        return new NodeAdapters(
                injector.getInstance(LogService.class),
                injector.getInstance(VirtualMachineList.class),
                injector.getInstance(EngineClient.class),
                injector.getInstance(ServiceClient.class),
                injector.getInstance(WeightStore.class),
                injector.getInstance(CacheStore.class),
                transport.network());
    }

    private void started(Void nothing, Throwable failure) {
        if (failure == null) {
            LOGGER.info("daemon {} serves", settings.daemon());
            ready.complete(null);
        } else {
            LOGGER.error("router of daemon {} did not start", settings.daemon(), failure);
            ready.completeExceptionally(failure);
        }
    }

    /** Completes when the router serves; fails if it cannot start. */
    public CompletionStage<Void> ready() {
        return ready.minimalCompletionStage();
    }

    /** Returns whether the router serves and no stop was asked for. */
    public boolean isReady() {
        return ready.isDone() && !ready.isCompletedExceptionally() && !isStopping();
    }

    /** Returns the settings with the ports that were bound. */
    public DaemonSettings settings() {
        return settings;
    }

    /** Returns the router's operations, as the HTTP interfaces use them. */
    public Router router() {
        return injector.getInstance(Router.class);
    }

    /** Returns the metrics that the admin port shows. */
    public MetricRegistry metrics() {
        return metrics;
    }

    /**
     * Stops without cutting requests, within the stop deadline; completes when nothing of the
     * daemon runs any more. Further calls return the same stage.
     */
    public synchronized CompletionStage<Void> stop() {
        if (stopped == null) {
            stopped = new CompletableFuture<>();
            // Stages made later complete earlier, so that each caller must get the same one.
            stoppedStage = stopped.minimalCompletionStage();
            Duration limit =
                    settings.timings()
                            .stopDeadline()
                            .plus(settings.timings().addressLifetime())
                            .plus(STOP_MARGIN);
            CompletableFuture.completedFuture(router())
                    .thenCompose(Router::stop)
                    .orTimeout(limit.toMillis(), TimeUnit.MILLISECONDS)
                    .whenCompleteAsync(this::routerStopped, closer());
        }
        return stoppedStage;
    }

    /**
     * Ends the daemon at once, as the loss of its process would: connections break, and nothing is
     * finished or announced.
     */
    public void kill() {
        synchronized (this) {
            if (stopped != null) {
                return;
            }
            stopped = CompletableFuture.completedFuture(null);
        }
        for (Connector connector : server.getConnectors()) {
            ((ServerConnector) connector).close();
            connector.getConnectedEndPoints().forEach(EndPoint::close);
        }
        server.setStopTimeout(0);
        injector.getInstance(ControlThread.class).close();
        close();
    }

    private synchronized boolean isStopping() {
        return stopped != null;
    }

    private void routerStopped(Void nothing, Throwable failure) {
        if (failure != null) {
            LOGGER.error("router of daemon {} did not stop cleanly", settings.daemon(), failure);
        }
        close();
        stopped.complete(null);
    }

    /** Runs the closing on a thread of its own, since the control thread is closed as well. */
    private Executor closer() {
        return task -> new Thread(task, "stop-" + settings.daemon()).start();
    }

    private void close() {
        try {
            if (server != null) {
                server.stop();
            }
        } catch (Exception exception) {
            LOGGER.warn("HTTP server did not stop cleanly", exception);
        }
        if (transport != null) {
            transport.closer().run();
        }
        injector.getInstance(ControlThread.class).close();
        injector.getInstance(OutboundHttp.class).close();
    }
}
