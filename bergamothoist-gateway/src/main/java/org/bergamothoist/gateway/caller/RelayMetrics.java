package org.bergamothoist.gateway.caller;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;

/** Counters and latency histograms of the relay. */
public final class RelayMetrics {

    private final MetricRegistry registry;
    private final Histogram firstByte;
    private final Histogram complete;

    /** Creates the metrics in a registry. */
    public RelayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.firstByte = registry.histogram("request-first-byte-milliseconds");
        this.complete = registry.histogram("request-complete-milliseconds");
    }

    void arrived() {
        registry.counter("requests").inc();
    }

    void attempted() {
        registry.counter("attempts").inc();
    }

    void ended(String outcome) {
        registry.counter("requests-ended." + outcome).inc();
    }

    void firstByteAfter(Duration time) {
        firstByte.update(time.toMillis());
    }

    void completeAfter(Duration time) {
        complete.update(time.toMillis());
    }
}
