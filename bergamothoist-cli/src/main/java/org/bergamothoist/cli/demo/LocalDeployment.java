package org.bergamothoist.cli.demo;

import com.google.inject.Module;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.daemon.DaemonException;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.settings.Bounds;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.DeploymentKey;
import org.bergamothoist.daemon.settings.NetworkAddress;
import org.bergamothoist.daemon.settings.PlatformUrls;
import org.bergamothoist.daemon.settings.Timings;
import org.bergamothoist.standin.PlatformStandIn;

/** The daemons of a deployment on loopback, over stand-ins, all in this process. */
public final class LocalDeployment implements AutoCloseable {

    /** Deployment key of examples; not a secret. */
    static final String EXAMPLE_KEY = "deployment key of examples, not a secret";

    private static final DeploymentKey DEPLOYMENT_KEY =
            new DeploymentKey(EXAMPLE_KEY.getBytes(StandardCharsets.UTF_8));
    private static final int KIBIBYTE = 1024;

    /** A connection may hold the freed port of a killed daemon for a moment. */
    private static final int START_ATTEMPTS = 50;

    private static final long START_RETRY_MILLISECONDS = 100;

    private final PlatformStandIn platform;
    private final ExampleDeployment example;
    private final List<DaemonInstance> daemons = new ArrayList<>();

    /** Creates a deployment without daemons over stand-ins that are running. */
    public LocalDeployment(PlatformStandIn platform, ExampleDeployment example) {
        this.platform = platform;
        this.example = example;
    }

    /** Starts a daemon on a VM of its own and returns it at once; it serves a little later. */
    public DaemonInstance startDaemon(int index) {
        String name = "entry-" + (index + 1);
        String dataCentre = platform.deployment().dataCentre(index);
        return startDaemon(settings(name, dataCentre), new ProductionModule());
    }

    /** Starts a daemon with settings and parts of its own. */
    DaemonInstance startDaemon(DaemonSettings settings, Module parts) {
        DaemonInstance daemon = DaemonInstance.start(settings, parts);
        platform.registerDaemon(
                settings.virtualMachine(),
                daemon.settings().peerAddress().port(),
                settings.dataCentre());
        daemons.add(daemon);
        return daemon;
    }

    /** Stops a daemon without cutting requests; completes when it has stopped. */
    public CompletableFuture<Void> stopDaemon(DaemonInstance daemon) {
        String machine = daemon.settings().virtualMachine();
        platform.daemonLeaving(machine);
        daemons.remove(daemon);
        return daemon.stop().toCompletableFuture().thenRun(() -> platform.removeDaemon(machine));
    }

    /** Ends a daemon at once, as the loss of its process would; its VM stays on the list. */
    public void killDaemon(DaemonInstance daemon) {
        daemons.remove(daemon);
        daemon.kill();
    }

    /** Starts a killed daemon again at the same addresses and returns it at once. */
    public DaemonInstance restartDaemon(DaemonInstance killed) throws InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try {
                DaemonInstance daemon =
                        DaemonInstance.start(killed.settings(), new ProductionModule());
                daemons.add(daemon);
                return daemon;
            } catch (DaemonException exception) {
                if (attempt == START_ATTEMPTS) {
                    throw exception;
                }
                Thread.sleep(START_RETRY_MILLISECONDS);
            }
        }
    }

    /** Returns the running daemons. */
    public List<DaemonInstance> daemons() {
        return List.copyOf(daemons);
    }

    /** Returns the callers' addresses of the running daemons. */
    public List<String> callerAddresses() {
        return daemons.stream()
                .map(daemon -> daemon.settings().callerAddress().toString())
                .toList();
    }

    DaemonSettings settings(String name, String dataCentre) {
        NetworkAddress anyPort = new NetworkAddress(PlatformStandIn.HOST, 0);
        return new DaemonSettings(
                name,
                name + "-vm",
                dataCentre,
                platform.deployment().region(),
                platform.deployment().name(),
                example.weightings(),
                anyPort,
                anyPort,
                anyPort,
                new PlatformUrls(
                        local(platform.log().port()),
                        local(platform.machines().port()),
                        local(platform.weightStore().port()),
                        local(platform.cacheStore().port())),
                DEPLOYMENT_KEY,
                example.operators(),
                ExampleDeployment.BLOCK_TOKENS,
                new Bounds(KIBIBYTE * KIBIBYTE, KIBIBYTE * KIBIBYTE, 16 * KIBIBYTE),
                new Timings(
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(20),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(5),
                        Duration.ofMinutes(1)));
    }

    private static URI local(int port) {
        return URI.create("http://" + PlatformStandIn.HOST + ":" + port);
    }

    /** Stops all daemons and the stand-ins. */
    @Override
    public void close() {
        CompletableFuture<?>[] stops =
                daemons.stream()
                        .map(daemon -> daemon.stop().toCompletableFuture())
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(stops).join();
        platform.close();
    }
}
