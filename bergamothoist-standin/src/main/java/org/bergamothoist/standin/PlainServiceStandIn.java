package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * A plain service that answers each call with its own body and counts how often it ran each
 * request.
 */
public final class PlainServiceStandIn implements AutoCloseable {

    private final String name;
    private final StandInHttpServer server;
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private Duration delay = Duration.ZERO;
    private int callsToBreak;
    private int answersToLose;
    private Predicate<String> crashingBody = body -> false;
    private Duration restartDelay = Duration.ZERO;
    private int crashes;

    /** Starts a service instance. */
    public PlainServiceStandIn(EventLoopGroup group, String name) {
        this.name = name;
        this.server = StandInHttpServer.start(group, this::handle);
    }

    /** Returns the instance's name. */
    public String name() {
        return name;
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    /** Returns how often this instance ran the request. */
    public int executions(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }

    /** Returns how often this instance ran any request. */
    public int totalExecutions() {
        return executions.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Resets the connections of the next calls after they were received; they do not run. */
    public void breakAfterReceiving(int calls) {
        server.run(() -> callsToBreak = calls);
    }

    /** Runs the next calls, but resets their connections instead of answering. */
    public void loseAnswers(int answers) {
        server.run(() -> answersToLose = answers);
    }

    /** Delays all answers; calls run on arrival. */
    public void slow(Duration answerDelay) {
        server.run(() -> delay = answerDelay);
    }

    /** Resets all connections and refuses new ones. */
    public void crash() {
        server.refuse();
    }

    /** Crashes on each call whose body matches, and restarts after the delay. */
    public void crashOnBody(Predicate<String> crashing, Duration delayOfRestart) {
        server.run(
                () -> {
                    crashingBody = crashing;
                    restartDelay = delayOfRestart;
                });
    }

    /** Returns how often a call has crashed this instance. */
    public int crashes() {
        return server.call(() -> crashes);
    }

    /** Accepts connections again. */
    public void restart() {
        server.accept();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        if (callsToBreak > 0) {
            callsToBreak--;
            response.reset();
            return;
        }
        if (crashingBody.test(new String(request.body(), StandardCharsets.UTF_8))) {
            crashes++;
            server.refuse();
            server.after(restartDelay, server::accept);
            return;
        }
        request.header("Request-Id").ifPresent(id -> executions.merge(id, 1, Integer::sum));
        if (answersToLose > 0) {
            answersToLose--;
            server.after(delay, response::reset);
            return;
        }
        server.after(delay, () -> response.send(200, answerHeaders(request), request.body()));
    }

    private Map<String, String> answerHeaders(StandInRequest request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", request.header("Content-Type").orElse("text/plain"));
        headers.put("Echo-Method", request.method());
        headers.put("Echo-Path", request.uri());
        headers.put("Service-Instance", name);
        request.header("Request-Id").ifPresent(id -> headers.put("Request-Id", id));
        return headers;
    }
}
