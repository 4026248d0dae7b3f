package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;

/**
 * Measures an engine by one request that runs there. Confined to the control thread.
 *
 * <p>Speeds are measured only by requests that met no other outstanding prefill of any daemon, and
 * that fetch no cached parts; the others waited for an unknown time.
 */
public final class RequestObservation {

    private final EngineObserver observer;
    private final Sample sample;
    private final OutstandingWork load;
    private boolean undisturbed;
    private boolean awaitsSlot;
    private long prefillTokensBefore;
    private boolean prefillAtLastEvent;
    private Instant sentAt;
    private Instant lastEventAt;

    RequestObservation(EngineObserver observer, Sample sample, OutstandingWork load) {
        this.observer = observer;
        this.sample = sample;
        this.load = load;
    }

    /**
     * The request and its engine.
     *
     * @param prefillTokens prompt tokens that the engine is predicted to compute
     * @param memoryTokens tokens of the whole prompt and the expected output
     * @param longPrompt whether the prompt is long by the separation's rule
     * @param fetching whether the engine is told to fetch cached parts
     */
    public record Sample(
            RegisteredTarget engine,
            RequestTerms terms,
            int prefillTokens,
            long memoryTokens,
            boolean longPrompt,
            boolean fetching) {}

    /** Records that the request was chosen for the engine and counts in its load. */
    public void onStarted(Instant now) {
        OutstandingWork.Totals totals = load.totals(now);
        prefillTokensBefore = totals.prefillTokens();
        awaitsSlot = sample.engine().slots() > 0 && totals.requests() > sample.engine().slots();
        undisturbed =
                !sample.fetching()
                        && !awaitsSlot
                        && totals.prefillTokens() <= sample.prefillTokens();
        if (sample.longPrompt()) {
            observer.separation()
                    .onLongPromptDispatched(
                            sample.engine(), sample.prefillTokens(), sample.memoryTokens(), now);
        }
    }

    /** Records that the request is being sent. */
    public void onSent(Instant now) {
        sentAt = now;
    }

    /** Records the first bytes of the answer; the load no longer includes the request's prefill. */
    public void onFirstBytes(Instant now) {
        if (sentAt == null || sample.fetching() || awaitsSlot) {
            return;
        }
        Duration elapsed = Duration.between(sentAt, now);
        if (undisturbed) {
            observer.recordFirstEvent(sample.engine(), sample.prefillTokens(), elapsed, now);
        } else {
            observer.speeds()
                    .recordDisturbedFirstEvent(sample.engine(), prefillTokensBefore, elapsed, now);
        }
    }

    /** Records that events of a stream arrived. */
    public void onEvents(Instant now) {
        if (sample.terms().longestEventGap().isZero()) {
            return;
        }
        boolean prefill = load.totals(now).prefillTokens() > 0;
        if (lastEventAt != null) {
            Duration gap = Duration.between(lastEventAt, now);
            boolean prefilling = prefill || prefillAtLastEvent;
            observer.speeds().recordGap(sample.engine(), gap, prefilling, now);
            observer.separation().recordGap(sample.engine(), gap, sample.terms(), prefilling, now);
        }
        lastEventAt = now;
        prefillAtLastEvent = prefill;
    }

    /**
     * Records a complete answer.
     *
     * @param slotTime how long the request occupied a slot
     */
    public void onCompleted(Duration slotTime) {
        observer.speeds().recordSlotTime(sample.engine(), slotTime);
    }

    /** Records that the request no longer runs at the engine, for whatever reason. */
    public void onEnded(Instant now) {
        if (sample.longPrompt()) {
            observer.separation().onLongPromptEnded(sample.engine(), sample.memoryTokens(), now);
        }
    }
}
