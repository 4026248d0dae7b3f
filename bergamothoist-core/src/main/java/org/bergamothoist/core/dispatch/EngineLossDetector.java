package org.bergamothoist.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetProbe;
import org.bergamothoist.core.quarantine.TargetLossDetector;
import org.bergamothoist.core.time.Scheduler;

/**
 * Finds out whether a stream broke because its engine was lost or only because of its connection.
 * Confined to the control thread.
 */
public final class EngineLossDetector {

    private static final Logger LOGGER = LogManager.getLogger(EngineLossDetector.class);

    /** Time to wait for the engine's report and, if it fails, for the probe of its address. */
    static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final EngineClient engineClient;
    private final TargetProbe addressProbe;
    private final Scheduler scheduler;
    private final Map<TargetId, CompletableFuture<ProbeResult>> pendingProbes = new HashMap<>();

    /** Creates a detector. */
    public EngineLossDetector(
            EngineClient engineClient, TargetProbe addressProbe, Scheduler scheduler) {
        this.engineClient = engineClient;
        this.addressProbe = addressProbe;
        this.scheduler = scheduler;
    }

    /** The result of a probe. */
    public enum ProbeResult {
        /** The incarnation is still running. */
        ALIVE,
        /** Another incarnation is running, or no process listens at the engine's address. */
        LOST,
        /** The engine gives no report; it may have ended, stand still or be cut off. */
        SILENT
    }

    /**
     * Asks the engine for its current incarnation. Concurrent calls for an engine share a probe.
     */
    public CompletionStage<ProbeResult> probe(Target target, EngineIncarnation incarnation) {
        CompletableFuture<ProbeResult> pending = pendingProbes.get(target.id());
        if (pending != null) {
            return pending;
        }
        CompletableFuture<ProbeResult> probe = new CompletableFuture<>();
        pendingProbes.put(target.id(), probe);
        engineClient
                .report(target)
                .whenComplete(
                        (report, failure) ->
                                scheduler.execute(
                                        () -> {
                                            if (failure == null) {
                                                complete(
                                                        target,
                                                        probe,
                                                        evaluate(report, incarnation));
                                            } else {
                                                probeAddress(target, probe);
                                            }
                                        }));
        scheduler.schedule(PROBE_TIMEOUT, () -> complete(target, probe, ProbeResult.SILENT));
        return probe;
    }

    private static ProbeResult evaluate(EngineReport report, EngineIncarnation incarnation) {
        boolean sameIncarnation =
                incarnation.equals(EngineIncarnation.UNKNOWN)
                        || report.incarnation().equals(incarnation);
        return sameIncarnation ? ProbeResult.ALIVE : ProbeResult.LOST;
    }

    /** A report fails as well if its connection is reset or its answer is damaged. */
    private void probeAddress(Target target, CompletableFuture<ProbeResult> probe) {
        scheduler.schedule(
                TargetLossDetector.PROBE_DELAY,
                () ->
                        addressProbe
                                .isListening(target)
                                .whenComplete(
                                        (listening, failure) ->
                                                onProbed(target, probe, listening, failure)));
    }

    private void onProbed(
            Target target,
            CompletableFuture<ProbeResult> probe,
            Boolean listening,
            Throwable failure) {
        if (failure != null) {
            LOGGER.warn("no probe of {}: {}", target.id(), failure.toString());
        }
        ProbeResult result =
                Boolean.FALSE.equals(listening) ? ProbeResult.LOST : ProbeResult.SILENT;
        scheduler.execute(() -> complete(target, probe, result));
    }

    private void complete(Target target, CompletableFuture<ProbeResult> probe, ProbeResult result) {
        if (pendingProbes.remove(target.id(), probe)) {
            probe.complete(result);
        }
    }
}
