package org.bergamothoist.daemon;

import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ExternalLoggingFactory;
import io.dropwizard.request.logging.ExternalRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.NetworkAddress;

/** Dropwizard's configuration, derived from the checked settings. */
final class DaemonConfiguration extends Configuration {

    /** Enough for parsing and Jersey, since streams hold no thread. */
    private static final int MAXIMUM_THREADS = 64;

    private static final int MINIMUM_THREADS = 8;
    private static final int ADMIN_THREADS = 8;

    /** Jetty's own buffer of each stream, which comes on top of the daemon's queue. */
    private static final DataSize OUTPUT_BUFFER = DataSize.kibibytes(8);

    /** Streams have ended before the server stops, so that only stragglers are left. */
    private static final Duration SHUTDOWN_GRACE = Duration.seconds(1);

    private DaemonConfiguration() {}

    /** Returns the configuration for the settings. */
    static DaemonConfiguration of(DaemonSettings settings) {
        DefaultServerFactory server = new DefaultServerFactory();
        server.setApplicationConnectors(List.of(connector(settings.callerAddress(), settings)));
        server.setAdminConnectors(List.of(connector(settings.adminAddress(), settings)));
        server.setMinThreads(MINIMUM_THREADS);
        server.setMaxThreads(MAXIMUM_THREADS);
        server.setAdminMaxThreads(ADMIN_THREADS);
        server.setShutdownGracePeriod(SHUTDOWN_GRACE);
        server.setRequestLogFactory(new ExternalRequestLogFactory());
        server.setEnableThreadNameFilter(false);
        // Compression would change the bodies of plain services and hold back events.
        GzipHandlerFactory gzip = new GzipHandlerFactory();
        gzip.setEnabled(false);
        server.setGzipFilterFactory(gzip);
        DaemonConfiguration configuration = new DaemonConfiguration();
        configuration.setLoggingFactory(new ExternalLoggingFactory());
        configuration.setServerFactory(server);
        return configuration;
    }

    private static HttpConnectorFactory connector(NetworkAddress address, DaemonSettings settings) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(address.host());
        connector.setPort(address.port());
        connector.setAcceptorThreads(Optional.of(1));
        connector.setSelectorThreads(Optional.of(2));
        connector.setMaxRequestHeaderSize(DataSize.bytes(settings.bounds().headers()));
        connector.setOutputBufferSize(OUTPUT_BUFFER);
        connector.setIdleTimeout(Duration.milliseconds(settings.timings().callerIdle().toMillis()));
        return connector;
    }
}
