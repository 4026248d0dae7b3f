package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Begins and ends faults. */
final class FaultInjector {

    /** A leaving target stays for longer than the bound of G7, so that late work would show. */
    private static final Duration SHORTEST_LEAVE = Duration.ofSeconds(8);

    private static final Duration RETRY = Duration.ofMillis(500);
    private static final Duration HERD_JITTER = Duration.ofMillis(300);
    private static final int LOST_EVENTS = 6;
    private static final int SPARE_TARGETS = 3;

    private final World world;

    FaultInjector(World world) {
        this.world = world;
    }

    void begin(Step.Fault fault) {
        world.log().count("fault." + fault.kind());
        world.log().note("fault " + fault);
        Duration length = bounded(fault.length());
        switch (fault.kind()) {
            case DAEMON_CRASH -> crash(daemon(fault.subject()), length);
            case ALL_DAEMONS_RESTART -> restartAll(length);
            case DAEMON_PAUSE -> pause(daemon(fault.subject()), length);
            case PLANNED_STOP -> stop(daemon(fault.subject()));
            case MACHINE_REPLACEMENT -> replace(daemon(fault.subject()));
            case ENGINE_CRASH -> crashEngine(fault.subject(), length, true);
            case ENGINE_CRASH_WITHOUT_MODELS -> crashEngine(fault.subject(), length, false);
            case ENGINE_FREEZE -> freeze(engine(fault.subject()), length);
            case ENGINE_LEAVING -> leaveEngine(fault.subject(), length);
            case CONNECTION_RESET -> reset(fault.subject());
            case EVENT_LOSS -> loseEvents(fault.subject(), LOST_EVENTS);
            case SERVICE_CRASH -> crashService(fault.subject(), length);
            case SERVICE_FREEZE -> pause(service(fault.subject()).process(), length);
            case SERVICE_LEAVING -> leaveService(fault.subject(), length);
            default -> beginShared(fault, length);
        }
    }

    private Duration bounded(Duration length) {
        Duration left = World.HEAL.minus(world.log().now());
        return length.compareTo(left) > 0 ? left : length;
    }

    private void after(Duration delay, Runnable task) {
        world.time().schedule(delay, task);
    }

    private void beginShared(Step.Fault fault, Duration length) {
        FakeLog log = world.logService();
        FakePeerNetwork network = world.network();
        log.noteHindrance();
        network.noteDisturbance();
        switch (fault.kind()) {
            case LOG_READS_DOWN -> during(length, () -> log.readsDown++, () -> log.readsDown--);
            case LOG_APPENDS_DOWN ->
                    during(length, () -> log.appendsDown++, () -> log.appendsDown--);
            case LOG_DOWN -> {
                during(length, () -> log.readsDown++, () -> log.readsDown--);
                during(length, () -> log.appendsDown++, () -> log.appendsDown--);
            }
            case LOG_SLOW -> during(length, () -> log.slow++, () -> log.slow--);
            case LOG_LOSES_ANSWERS ->
                    during(length, () -> log.losingAnswers++, () -> log.losingAnswers--);
            case LOG_DELAYS_APPENDS ->
                    during(length, () -> log.delayingAppends++, () -> log.delayingAppends--);
            case LOG_CUT_OFF -> cutOff(fault.subject(), length);
            case LOG_RETENTION -> log.expireCovered();
            case PEER_LOSS -> during(length, () -> network.losing++, () -> network.losing--);
            case PEER_DELAY -> during(length, () -> network.delaying++, () -> network.delaying--);
            case PEER_DUPLICATION ->
                    during(length, () -> network.duplicating++, () -> network.duplicating--);
            case PARTITION -> partition(fault.subject(), length);
            case MACHINE_LIST_DOWN ->
                    during(
                            length,
                            () -> {
                                world.machines().down++;
                                world.noteMachineListDown();
                            },
                            () -> world.machines().down--);
            default -> throw new IllegalStateException("unknown fault " + fault.kind());
        }
    }

    private void during(Duration length, Runnable begin, Runnable end) {
        begin.run();
        after(
                length,
                () -> {
                    end.run();
                    world.logService().noteHindrance();
                    world.network().noteDisturbance();
                    world.noteMachineListDown();
                });
    }

    private DaemonHost daemon(int subject) {
        return world.hosts().get(subject % world.hosts().size());
    }

    private FakeEngine engine(int subject) {
        List<FakeEngine> engines = new ArrayList<>(world.engines().values());
        return engines.get(subject % engines.size());
    }

    private FakeService service(int subject) {
        List<FakeService> services = new ArrayList<>(world.services().values());
        return services.get(subject % services.size());
    }

    private void crash(DaemonHost host, Duration length) {
        host.crash();
        after(length, host::start);
    }

    private void restartAll(Duration length) {
        List<DaemonHost> hosts = List.copyOf(world.hosts());
        hosts.forEach(DaemonHost::crash);
        for (DaemonHost host : hosts) {
            Duration jitter =
                    Duration.ofMillis(world.random().nextInt((int) HERD_JITTER.toMillis()));
            after(length.dividedBy(4).plus(jitter), host::start);
        }
    }

    private void pause(DaemonHost host, Duration length) {
        SimulatedProcess paused = host.process();
        host.pause();
        after(
                length,
                () -> {
                    if (host.process() == paused) {
                        host.resume();
                    }
                });
    }

    private void pause(SimulatedProcess process, Duration length) {
        process.pause();
        after(length, process::resume);
    }

    private void freeze(FakeEngine engine, Duration length) {
        if (engine.alive()) {
            pause(engine.process(), length);
        }
    }

    private void stop(DaemonHost host) {
        host.stop(() -> after(RETRY, host::start));
    }

    private void replace(DaemonHost host) {
        host.crash();
        world.machines().remove(host.name());
        host.retire();
        world.hosts().remove(host);
        world.addHost();
    }

    private void crashEngine(int subject, Duration length, boolean keepsModels) {
        FakeEngine engine = engine(subject);
        engine.crash("fault");
        world.restartEngine(engine, length, keepsModels);
    }

    private void leaveEngine(int subject, Duration length) {
        List<String> live = world.staying(world.engines().keySet());
        if (live.size() < SPARE_TARGETS) {
            return;
        }
        String name = live.get(subject % live.size());
        FakeEngine engine = world.engines().get(name);
        world.leave(name);
        if (subject % 2 == 0) {
            engine.markLeaving();
        }
        world.addEngine();
        after(longer(length), () -> finishLeaving(name, engine));
    }

    private static Duration longer(Duration length) {
        return length.compareTo(SHORTEST_LEAVE) > 0 ? length : SHORTEST_LEAVE;
    }

    private void finishLeaving(String name, FakeEngine engine) {
        if (engine.alive() && !engine.idle() && !world.closing()) {
            after(RETRY, () -> finishLeaving(name, engine));
            return;
        }
        engine.crash("left");
        world.engines().remove(name);
        world.machines().remove(name);
    }

    private void reset(int subject) {
        FakeEngine engine = engine(subject);
        if (engine.alive()) {
            engine.resetConnections();
        }
    }

    private void loseEvents(int subject, int count) {
        FakeEngine engine = engine(subject);
        if (engine.alive()) {
            engine.loseEvent(world.random().nextInt(LOST_EVENTS));
        }
        if (count > 1) {
            after(RETRY, () -> loseEvents(subject, count - 1));
        }
    }

    private void crashService(int subject, Duration length) {
        FakeService service = service(subject);
        if (!service.alive()) {
            return;
        }
        service.crash();
        after(length, service::start);
    }

    private void leaveService(int subject, Duration length) {
        List<String> live = world.staying(world.services().keySet());
        if (live.size() < SPARE_TARGETS) {
            return;
        }
        String name = live.get(subject % live.size());
        FakeService service = world.services().get(name);
        world.leave(name);
        world.addService();
        after(
                longer(length),
                () -> {
                    if (service.alive()) {
                        service.crash();
                    }
                    world.services().remove(name);
                    world.machines().remove(name);
                });
    }

    private void cutOff(int subject, Duration length) {
        List<String> names = group(subject);
        during(
                length,
                () -> world.logService().cutOff.addAll(names),
                () -> world.logService().cutOff.removeAll(names));
    }

    /** Returns at most half of the daemons, the same ones for equal subjects. */
    private List<String> group(int subject) {
        List<String> names = new ArrayList<>();
        List<DaemonHost> hosts = world.hosts();
        for (int index = 0; index < hosts.size(); index++) {
            if ((subject >> index) % 2 == 0) {
                names.add(hosts.get(index).name());
            }
        }
        return List.copyOf(names.subList(0, Math.min(names.size(), (hosts.size() + 1) / 2)));
    }

    private void partition(int subject, Duration length) {
        List<String> names = group(subject);
        during(
                length,
                () -> names.forEach(name -> world.network().sides.put(name, 1)),
                () -> names.forEach(world.network().sides::remove));
    }
}
