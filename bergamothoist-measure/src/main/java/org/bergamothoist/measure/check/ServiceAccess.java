package org.bergamothoist.measure.check;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetStream;

/** One node's access to the fake plain services, and its probes of targets' addresses. */
final class ServiceAccess implements ServiceClient {

    /** Header in which the fake callers name their organisation. */
    static final String ORGANISATION = "organisation";

    private final World world;
    private final String daemon;
    private final SimulatedProcess node;

    ServiceAccess(World world, String daemon, SimulatedProcess node) {
        this.world = world;
        this.daemon = daemon;
        this.node = node;
    }

    @Override
    public TargetStream start(ServiceCall call, ServiceListener listener) {
        world.leavingOracle().dispatched(daemon, call.target().id());
        Connection<ServiceListener> connection = new Connection<>(world.time(), node, listener);
        world.time()
                .schedule(
                        Connection.LATENCY,
                        () -> {
                            FakeService service = world.service(call.target().id());
                            if (service == null || !service.alive()) {
                                connection.end(ServiceAccess::refuse);
                                return;
                            }
                            connection.deliver(ServiceListener::onSending);
                            world.received(
                                    new OrganisationId(call.headers().get(ORGANISATION).get(0)),
                                    call.requestId(),
                                    call.target().id(),
                                    daemon);
                            service.process().execute(() -> service.accept(call, connection));
                        });
        return connection;
    }

    @Override
    public CompletionStage<Boolean> isListening(Target target) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        world.time()
                .schedule(
                        Connection.LATENCY.multipliedBy(2),
                        () -> result.complete(world.isAlive(target.id())));
        return result;
    }

    private static void refuse(ServiceListener listener) {
        listener.onFailed(new TargetFailure(TargetFailure.Kind.NOT_SENT, "connection refused"));
    }
}
