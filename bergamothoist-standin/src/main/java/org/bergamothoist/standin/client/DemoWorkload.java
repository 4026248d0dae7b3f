package org.bergamothoist.standin.client;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.standin.EngineCounters;
import org.bergamothoist.standin.PlatformStandIn;

/**
 * Sends requests to the router as the customers of a deployment do, and checks every answer. It
 * uses no thread for each stream.
 */
public final class DemoWorkload {

    /** Callers of an organisation, each with its own addresses. */
    private static final int CALLERS_PER_ORGANISATION = 4;

    private final PlatformStandIn platform;
    private final List<String> daemonAddresses;
    private final WorkloadSettings settings;
    private final InstantSource clock;
    private final CallerTransport transport;
    private final WorkloadPlan plan;
    private final WorkloadRecorder recorder = new WorkloadRecorder();
    private final Map<String, CompletionCaller> completionCallers = new ConcurrentHashMap<>();
    private final Map<String, ServiceCaller> serviceCallers = new ConcurrentHashMap<>();
    private final CompletableFuture<WorkloadResult> result = new CompletableFuture<>();
    private EngineCounters countersAtStart;
    private Instant begin;
    private Duration nextArrival = Duration.ZERO;
    private volatile boolean sending = true;

    /**
     * Prepares a workload.
     *
     * @param daemonAddresses daemons' addresses to ask first, as {@code host:port}
     */
    public DemoWorkload(
            PlatformStandIn platform,
            List<String> daemonAddresses,
            WorkloadSettings settings,
            InstantSource clock) {
        this.platform = platform;
        this.daemonAddresses = List.copyOf(daemonAddresses);
        this.settings = settings;
        this.clock = clock;
        this.transport = new CallerTransport(clock, settings.seed());
        this.plan = new WorkloadPlan(settings);
    }

    /** Starts the workload, once; the result comes when every request has its outcome. */
    public CompletableFuture<WorkloadResult> run() {
        countersAtStart = platform.counters();
        begin = clock.instant();
        transport.schedule(Duration.ZERO, this::sendNext);
        return result.whenComplete((ignored, error) -> transport.close());
    }

    /** Returns the number of requests sent so far. */
    public int requests() {
        return recorder.begun();
    }

    /** Returns how many streams callers resumed so far, in requests that have ended. */
    public int resumes() {
        return recorder.resumes();
    }

    /** Sends no new requests; those that run get their outcome. */
    public void stop() {
        sending = false;
    }

    private void sendNext() {
        try {
            sendOrFinish();
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    private void sendOrFinish() {
        if (!sending || nextArrival.compareTo(settings.duration()) >= 0) {
            sending = false;
            finishIfIdle();
            return;
        }
        start(plan.next());
        nextArrival = nextArrival.plus(plan.nextGap());
        Duration elapsed = Duration.between(begin, clock.instant());
        transport.schedule(nextArrival.minus(elapsed), this::sendNext);
    }

    private void start(WorkloadPlan.Draw draw) {
        if (!recorder.begin(settings.maximumConcurrent())) {
            return;
        }
        if (draw.service().isPresent()) {
            serviceCaller(draw)
                    .call(serviceRequest(draw, draw.service().get()))
                    .thenAccept(this::ended);
            return;
        }
        CompletionRequest request =
                CompletionRequest.of(
                        draw.model().orElseThrow(), draw.prompt(), settings.maximumTokens());
        completionCaller(draw)
                .complete(draw.booking() ? request.nonIdempotent() : request)
                .thenAccept(this::ended);
    }

    private static ServiceRequest serviceRequest(
            WorkloadPlan.Draw draw, ServiceEntitlement service) {
        byte[] body = draw.prompt().getBytes(StandardCharsets.UTF_8);
        String path = service.pathPrefix().substring(1);
        return new ServiceRequest(service.service(), path, "POST", body, !draw.booking());
    }

    private void ended(CompletionResult completion) {
        recorder.end(completion);
        finishIfIdle();
    }

    private void ended(ServiceResult service) {
        recorder.end(service);
        finishIfIdle();
    }

    private void finishIfIdle() {
        if (sending || recorder.running() > 0) {
            return;
        }
        result.complete(
                recorder.result(platform.counters().minus(countersAtStart), platform::executions));
    }

    private CompletionCaller completionCaller(WorkloadPlan.Draw draw) {
        return completionCallers.computeIfAbsent(
                callerName(draw),
                name -> new CompletionCaller(transport, caller(draw.organisation(), name)));
    }

    private ServiceCaller serviceCaller(WorkloadPlan.Draw draw) {
        return serviceCallers.computeIfAbsent(
                callerName(draw),
                name -> new ServiceCaller(transport, caller(draw.organisation(), name)));
    }

    private CallerSettings caller(String organisation, String name) {
        return new CallerSettings(organisation, daemonAddresses, name, settings.patience());
    }

    private String callerName(WorkloadPlan.Draw draw) {
        int rankInOrganisation = draw.customer() / settings.organisations().size();
        return draw.organisation() + "/" + rankInOrganisation % CALLERS_PER_ORGANISATION;
    }
}
