package org.bergamothoist.measure.check;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** One instance of a plain service. Its answer names the request, so that crossed ones show. */
final class FakeService {

    /** Parts of each answer's body. */
    static final int PARTS = 3;

    private static final int MAXIMUM_WORK_MILLISECONDS = 80;
    private static final Duration CRASH_DELAY = Duration.ofMillis(30);

    private final String name;
    private final VirtualTimeScheduler time;
    private final RunLog log;
    private final RandomGenerator random;
    private final BiConsumer<FakeService, String> onCrashedByContent;
    private final Set<Call> calls = new HashSet<>();
    private SimulatedProcess process;

    /**
     * Starts an instance.
     *
     * @param onCrashedByContent receives the instance and the path of a call that has crashed it
     */
    FakeService(
            String name,
            VirtualTimeScheduler time,
            RunLog log,
            RandomGenerator random,
            BiConsumer<FakeService, String> onCrashedByContent) {
        this.name = name;
        this.time = time;
        this.log = log;
        this.random = random;
        this.onCrashedByContent = onCrashedByContent;
        start();
    }

    void start() {
        process = new SimulatedProcess(name, time, log);
    }

    boolean alive() {
        return process.alive();
    }

    SimulatedProcess process() {
        return process;
    }

    boolean idle() {
        return calls.isEmpty();
    }

    void crash() {
        log.note(name + " crashes");
        process.kill();
        List<Call> lost = new ArrayList<>(calls);
        calls.clear();
        lost.sort(java.util.Comparator.comparing(call -> call.text));
        lost.forEach(Call::breakOff);
    }

    static String part(String requestId, String path, int index) {
        return requestId + path + "#" + index;
    }

    void accept(ServiceCall call, Connection<ServiceListener> connection) {
        Call running = new Call(call, connection);
        calls.add(running);
        connection.accept(process, running);
        if (running.path.contains(FakeEngine.CRASHING)) {
            process.schedule(CRASH_DELAY, () -> crashByContent(running));
            return;
        }
        Duration work = Duration.ofMillis(2 + random.nextInt(MAXIMUM_WORK_MILLISECONDS));
        process.schedule(work, running::answer);
    }

    private void crashByContent(Call call) {
        if (calls.contains(call)) {
            log.count("services-crashed-by-content");
            crash();
            onCrashedByContent.accept(this, call.path);
        }
    }

    private final class Call implements Connection.Peer {

        private final String text;
        private final String path;
        private final Connection<ServiceListener> connection;
        private int demand;
        private int sent;
        private boolean answering;

        Call(ServiceCall call, Connection<ServiceListener> connection) {
            this.text = call.requestId().toString();
            this.path = call.pathAndQuery();
            this.connection = connection;
        }

        void answer() {
            answering = true;
            connection.deliver(listener -> listener.onHead(200, Map.of()));
            pump();
        }

        private void pump() {
            while (answering && demand > 0 && sent < PARTS) {
                demand--;
                byte[] part = part(text, path, sent++).getBytes(StandardCharsets.UTF_8);
                connection.deliver(listener -> listener.onBody(ByteBuffer.wrap(part)));
            }
            if (sent == PARTS && calls.remove(this)) {
                connection.end(ServiceListener::onCompleted);
            }
        }

        void breakOff() {
            connection.end(
                    listener ->
                            listener.onFailed(
                                    new TargetFailure(
                                            TargetFailure.Kind.BROKEN, "connection reset")));
        }

        @Override
        public void onDemand(int parts) {
            demand += parts;
            pump();
        }

        @Override
        public void onClosed() {
            calls.remove(this);
            answering = false;
        }
    }
}
