package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Lets another process cause faults and read counts over HTTP: {@code POST /log/{down|recover}},
 * {@code POST /engines/{name}/{crash|restart|freeze|unfreeze|leaving}}, {@code GET
 * /executions/{request identifier}}.
 */
final class PlatformControl implements AutoCloseable {

    private final PlatformStandIn platform;
    private final StandInHttpServer server;
    private final Map<String, Runnable> logActions;
    private final Map<String, Consumer<EngineStandIn>> engineActions;

    private record Executions(int executions) {}

    PlatformControl(EventLoopGroup group, PlatformStandIn platform) {
        this.platform = platform;
        this.logActions = Map.of("down", platform.log()::down, "recover", platform.log()::recover);
        this.engineActions =
                Map.of(
                        "crash",
                        EngineStandIn::crash,
                        "restart",
                        EngineStandIn::restart,
                        "freeze",
                        EngineStandIn::freeze,
                        "unfreeze",
                        EngineStandIn::unfreeze,
                        "leaving",
                        platform::engineLeaving);
        this.server = StandInHttpServer.start(group, this::handle);
    }

    int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        List<String> path = request.segments();
        if (path.size() == 2 && path.get(0).equals("executions")) {
            response.json(200, new Executions(platform.executions(path.get(1))));
            return;
        }
        Optional<Runnable> action = action(path);
        if (action.isEmpty() || !request.method().equals("POST")) {
            response.message(404, "unknown path");
            return;
        }
        // Actions wait for other event loops, and must not do so on this one.
        Thread thread =
                new Thread(
                        () -> {
                            action.get().run();
                            server.run(() -> response.empty(204));
                        },
                        "stand-in-control");
        thread.setDaemon(true);
        thread.start();
    }

    private Optional<Runnable> action(List<String> path) {
        if (path.size() == 2 && path.get(0).equals("log")) {
            return Optional.ofNullable(logActions.get(path.get(1)));
        }
        if (path.size() != 3 || !path.get(0).equals("engines")) {
            return Optional.empty();
        }
        Optional<Consumer<EngineStandIn>> change =
                Optional.ofNullable(engineActions.get(path.get(2)));
        return platform.engines().stream()
                .filter(engine -> engine.name().equals(path.get(1)))
                .findFirst()
                .flatMap(engine -> change.map(found -> () -> found.accept(engine)));
    }
}
