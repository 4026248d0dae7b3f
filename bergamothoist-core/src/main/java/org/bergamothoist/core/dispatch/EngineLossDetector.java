package org.bergamothoist.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.time.Scheduler;

/**
 * Decides whether a broken stream means that its engine was lost or only its connection. Confined
 * to the control thread.
 */
public final class EngineLossDetector {

    /** Time for the engine's report; an engine that does not answer counts as lost. */
    static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final EngineClient engineClient;
    private final Scheduler scheduler;
    private final Map<TargetId, CompletableFuture<Verdict>> openProbes = new HashMap<>();

    /** Creates a detector. */
    public EngineLossDetector(EngineClient engineClient, Scheduler scheduler) {
        this.engineClient = engineClient;
        this.scheduler = scheduler;
    }

    /** What a probe found. */
    public enum Verdict {
        /** The incarnation still runs. */
        ALIVE,
        /** The incarnation is gone, or nothing answers. */
        LOST
    }

    /** Asks the engine which incarnation runs; one probe serves all streams that broke with it. */
    public CompletionStage<Verdict> investigate(Target target, EngineIncarnation incarnation) {
        CompletableFuture<Verdict> open = openProbes.get(target.id());
        if (open != null) {
            return open;
        }
        CompletableFuture<Verdict> probe = new CompletableFuture<>();
        openProbes.put(target.id(), probe);
        engineClient
                .report(target)
                .whenComplete(
                        (report, failure) ->
                                scheduler.execute(
                                        () -> close(target, probe, verdict(report, incarnation))));
        scheduler.schedule(PROBE_TIMEOUT, () -> close(target, probe, Verdict.LOST));
        return probe;
    }

    private static Verdict verdict(EngineReport report, EngineIncarnation incarnation) {
        if (report == null) {
            return Verdict.LOST;
        }
        boolean same =
                incarnation.equals(EngineIncarnation.UNKNOWN)
                        || report.incarnation().equals(incarnation);
        return same ? Verdict.ALIVE : Verdict.LOST;
    }

    private void close(Target target, CompletableFuture<Verdict> probe, Verdict verdict) {
        if (openProbes.remove(target.id(), probe)) {
            probe.complete(verdict);
        }
    }
}
