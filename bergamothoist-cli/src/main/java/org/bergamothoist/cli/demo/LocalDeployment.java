package org.bergamothoist.cli.demo;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.settings.Bounds;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.DeploymentKey;
import org.bergamothoist.daemon.settings.NetworkAddress;
import org.bergamothoist.daemon.settings.OperatorKey;
import org.bergamothoist.daemon.settings.PlatformUrls;
import org.bergamothoist.daemon.settings.Timings;
import org.bergamothoist.daemon.settings.Weightings;
import org.bergamothoist.standin.PlatformStandIn;

/** The daemons of a deployment on loopback, over stand-ins, all in this process. */
public final class LocalDeployment implements AutoCloseable {

    private static final String KEY_DIGEST =
            "0000000000000000000000000000000000000000000000000000000000000000";
    private static final DeploymentKey DEPLOYMENT_KEY =
            new DeploymentKey(
                    "key of a deployment in one process".getBytes(StandardCharsets.UTF_8));
    private static final int KIBIBYTE = 1024;

    private final PlatformStandIn platform;
    private final Weightings weightings;
    private final int blockTokens;
    private final List<DaemonInstance> daemons = new ArrayList<>();
    private final InstantSource clock;

    /**
     * Creates a deployment without daemons.
     *
     * @param blockTokens tokens of a cache block, the same as the engines'
     */
    public LocalDeployment(
            PlatformStandIn platform, Weightings weightings, int blockTokens, InstantSource clock) {
        this.platform = platform;
        this.weightings = weightings;
        this.blockTokens = blockTokens;
        this.clock = clock;
    }

    /** Starts a daemon on a VM of its own and returns it at once; it serves a little later. */
    public DaemonInstance startDaemon(int index) {
        String name = "entry-" + (index + 1);
        String dataCentre = platform.deployment().dataCentre(index);
        DaemonInstance daemon =
                DaemonInstance.start(settings(name, dataCentre), new ProductionModule());
        platform.registerDaemon(name + "-vm", daemon.settings().peerAddress().port(), dataCentre);
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

    private DaemonSettings settings(String name, String dataCentre) {
        NetworkAddress anyPort = new NetworkAddress(PlatformStandIn.HOST, 0);
        return new DaemonSettings(
                name,
                name + "-vm",
                dataCentre,
                platform.deployment().region(),
                platform.deployment().name(),
                weightings,
                anyPort,
                anyPort,
                anyPort,
                new PlatformUrls(
                        local(platform.log().port()),
                        local(platform.machines().port()),
                        local(platform.weightStore().port()),
                        local(platform.cacheStore().port())),
                DEPLOYMENT_KEY,
                List.of(new OperatorKey("operator", "first-office", KEY_DIGEST)),
                blockTokens,
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
