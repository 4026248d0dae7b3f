package org.bergamothoist.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.security.SecureRandom;
import java.time.InstantSource;
import org.bergamothoist.core.dispatch.DispatchSettings;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.node.RouterNode;
import org.bergamothoist.core.placement.PlacementWeights;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Timeline;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.protocol.NettyPeerNetwork;
import org.bergamothoist.protocol.PeerNetworkSettings;

/**
 * Binds the parts of a daemon that other modules provide: the router, the transport between
 * daemons, parser and printer of sheets. Each daemon needs an instance of its own.
 */
public final class ProductionModule extends AbstractModule {

    /** Models, adapters and versions that one engine is asked to hold at the same time. */
    private static final int MODELS_PER_ENGINE = 8;

    /** Tokens that an engine is assumed to prefill in a second, until it is measured. */
    private static final int PREFILL_TOKENS_PER_SECOND = 40_000;

    /** Tokens that an engine is assumed to import in a second from the KV cache store. */
    private static final int IMPORT_TOKENS_PER_SECOND = 400_000;

    private static final int MAXIMUM_GENERATED_TOKENS = 32_768;

    @Override
    protected void configure() {
        install(new SheetModule());
    }

    @Provides
    @Singleton
    Timeline timeline(DaemonId daemon, InstantSource clock) {
        return new BoundedTimeline(daemon, clock);
    }

    @Provides
    @Singleton
    PeerTransport.Factory peerTransport(Timeline timeline, MetricRegistry metrics) {
        return (daemon, settings) -> {
            NettyPeerNetwork network =
                    new NettyPeerNetwork(
                            new PeerNetworkSettings(
                                    daemon,
                                    settings.peerAddress().host(),
                                    settings.peerAddress().host(),
                                    settings.peerAddress().port(),
                                    settings.deploymentKey().bytes()),
                            timeline,
                            metrics);
            network.start();
            return new PeerTransport(network, network.boundPort(), network::close);
        };
    }

    @Provides
    @Singleton
    RouterFactory routerFactory(Timeline timeline, MetricRegistry metrics) {
        return (daemon, adapters, settings, scheduler, clock) ->
                new RouterNode(
                        nodeSettings(daemon, settings),
                        adapters,
                        new RouterNode.Environment(
                                scheduler,
                                clock,
                                new SecureRandom(),
                                metrics,
                                timeline,
                                new CountingInvariantMonitor(metrics, timeline)));
    }

    private static NodeSettings nodeSettings(DaemonId daemon, DaemonSettings settings) {
        DispatchSettings standard = DispatchSettings.defaults();
        return new NodeSettings(
                daemon,
                settings.virtualMachine(),
                settings.peerAddress().toString(),
                settings.callerAddress().toString(),
                settings.dataCentre(),
                settings.deploymentKey().bytes(),
                settings.blockTokens(),
                new PlacementWeights(
                        settings.weightings().tailLatency(), settings.weightings().recomputation()),
                settings.bounds().prompt(),
                MAXIMUM_GENERATED_TOKENS,
                settings.timings().addressLifetime(),
                settings.timings().stopDeadline(),
                MODELS_PER_ENGINE,
                PREFILL_TOKENS_PER_SECOND,
                IMPORT_TOKENS_PER_SECOND,
                true,
                new DispatchSettings(
                        standard.maximumAttempts(),
                        settings.timings().firstTokenTimeout(),
                        standard.stallTimeout(),
                        standard.resumeTokenLifetime(),
                        standard.engineWaitTimeout()));
    }
}
