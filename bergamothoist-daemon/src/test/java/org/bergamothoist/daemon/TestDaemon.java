package org.bergamothoist.daemon;

import com.google.inject.AbstractModule;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.daemon.operator.SheetFault;
import org.bergamothoist.daemon.operator.SheetFaultsException;
import org.bergamothoist.daemon.operator.SheetParser;
import org.bergamothoist.daemon.operator.SheetPrinter;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.daemon.settings.SettingsLoader;

/** A daemon on loopback with a fake router. */
final class TestDaemon implements AutoCloseable {

    static final String OPERATOR_KEY = "operator-key-of-anna";

    final FakeRouter router = new FakeRouter();
    final DaemonInstance instance;

    TestDaemon() {
        this("{}");
    }

    TestDaemon(String timings) {
        instance = DaemonInstance.start(settings(timings), new Parts());
    }

    static DaemonSettings settings(String timings) {
        String text =
                """
                {"daemon": "biel-a-1", "virtual_machine": "vm-1", "data_centre": "biel-a",
                 "region": "ch-west", "deployment": "brunner",
                 "weightings": {"tail_latency": 2, "recomputation": 1},
                 "caller_address": {"host": "127.0.0.1", "port": 0},
                 "admin_address": {"host": "127.0.0.1", "port": 0},
                 "peer_address": {"host": "127.0.0.1", "port": 0},
                 "platform": {"log": "http://127.0.0.1:1",
                   "virtual_machine_list": "http://127.0.0.1:1",
                   "weight_store": "http://127.0.0.1:1", "cache_store": "http://127.0.0.1:1"},
                 "deployment_key": {"environment": "KEY"},
                 "operators": [{"name": "anna", "office": "biel", "key": "%s"}],
                 "bounds": {"prompt": "64KiB", "body": "64KiB"},
                 "timings": %s}
                """
                        .formatted(OPERATOR_KEY, timings);
        Map<String, String> environment = Map.of("KEY", "0123456789abcdef0123456789abcdef");
        return new SettingsLoader(environment::get).parse("settings.json", text);
    }

    /** Connects to the callers' port. */
    RawClient connect() throws Exception {
        return new RawClient(new Socket("127.0.0.1", instance.settings().callerAddress().port()));
    }

    /** Connects to the admin port. */
    RawClient connectAdmin() throws Exception {
        return new RawClient(new Socket("127.0.0.1", instance.settings().adminAddress().port()));
    }

    @Override
    public void close() {
        router.stopped.complete(null);
        instance.stop().toCompletableFuture().join();
    }

    /** The parts that other modules provide. */
    private final class Parts extends AbstractModule {

        @Override
        protected void configure() {
            bind(RouterFactory.class)
                    .toInstance((daemon, adapters, settings, scheduler, clock) -> router);
            bind(PeerTransport.Factory.class)
                    .toInstance(
                            (daemon, settings) ->
                                    new PeerTransport(new SilentNetwork(), 4711, () -> {}));
            bind(SheetParser.class)
                    .toInstance(
                            csv -> {
                                if (csv.contains("fault")) {
                                    throw new SheetFaultsException(
                                            List.of(new SheetFault(2, "weight", "not a number")));
                                }
                                return List.of();
                            });
            bind(SheetPrinter.class).toInstance(organisations -> "organisation\n");
        }
    }

    /** Sends nothing. */
    private static final class SilentNetwork implements PeerNetwork {

        @Override
        public void send(String address, PeerMessage message) {
            // The fake router has no peers.
        }

        @Override
        public void setReceiver(PeerReceiver receiver) {
            // The fake router has no peers.
        }
    }
}
