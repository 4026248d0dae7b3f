package org.bergamothoist.gateway.caller;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** Counters and latency histograms of the relay. */
public final class RelayMetrics {

    private final MetricRegistry registry;
    private final Histogram timeToFirstByte;
    private final Histogram timeToCompletion;
    private final Histogram endCheckTime;
    private final SortedMap<String, Long> endings = new TreeMap<>();

    /** Creates the metrics in a registry. */
    public RelayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.timeToFirstByte = registry.histogram("request-first-byte-milliseconds");
        this.timeToCompletion = registry.histogram("request-complete-milliseconds");
        this.endCheckTime = registry.histogram("answer-end-check-milliseconds");
    }

    void countRequest() {
        registry.counter("requests").inc();
    }

    void countQuarantined() {
        registry.counter("requests-quarantined").inc();
    }

    void countAttempt() {
        registry.counter("attempts").inc();
    }

    void countWaiting(int priority) {
        registry.counter("requests-waited." + priority).inc();
    }

    void countOverloadRefusal(int priority) {
        registry.counter("requests-refused-overload." + priority).inc();
    }

    void recordWait(int priority, Duration time) {
        registry.histogram("request-wait-milliseconds." + priority).update(time.toMillis());
    }

    void countEndedRequest(String outcome) {
        registry.counter("requests-ended." + outcome).inc();
        endings.merge(outcome, 1L, Long::sum);
    }

    /** Counts an answer that was complete here, but whose bytes were not all written. */
    void countUnwrittenAnswer(String outcome) {
        registry.counter("answers-unwritten." + outcome).inc();
        endings.merge(outcome, 1L, Long::sum);
    }

    /**
     * Returns the numbers of requests that have ended, by outcome. An answer that was complete but
     * not written counts as answered and under an outcome of its own.
     */
    SortedMap<String, Long> endings() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(endings));
    }

    /** Counts an answer that ended with its connection; the outcome says what it was taken for. */
    void countCheckedEnd(String outcome, Duration wait) {
        registry.counter("answer-ends." + outcome).inc();
        endCheckTime.update(wait.toMillis());
    }

    /**
     * Counts streams by priority. {@code started} counts those with an event; {@code
     * late-first-event}, {@code late-gap-only} and {@code late-first-event-and-gap} those that miss
     * an objective of their route, the last of them also as late by the first event.
     */
    void countStream(int priority, String timing) {
        registry.counter("streams." + timing + ".priority-" + priority).inc();
    }

    void recordFirstEvent(int priority, Duration time) {
        registry.histogram("stream-first-event-milliseconds.priority-" + priority)
                .update(time.toMillis());
    }

    void recordTimeToFirstByte(Duration time) {
        timeToFirstByte.update(time.toMillis());
    }

    void recordTimeToCompletion(Duration time) {
        timeToCompletion.update(time.toMillis());
    }
}
