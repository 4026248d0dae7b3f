package org.bergamothoist.gateway.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.nio.charset.StandardCharsets;

/** Serves the counters, gauges and histograms of a registry as text, one value a line. */
public final class MetricsEndpoint {

    private static final int OK = 200;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private final MetricRegistry registry;

    /** Creates the endpoint of a registry. */
    public MetricsEndpoint(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the current values. */
    public AuxiliaryHttpServer.Response response() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> appendLine(text, name, "" + counter.getCount()));
        registry.getGauges()
                .forEach((name, gauge) -> appendLine(text, name, "" + gauge.getValue()));
        registry.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            appendLine(text, name + "_count", "" + histogram.getCount());
                            Snapshot snapshot = histogram.getSnapshot();
                            for (double quantile : QUANTILES) {
                                appendLine(
                                        text,
                                        name + "{quantile=\"" + quantile + "\"}",
                                        "" + snapshot.getValue(quantile));
                            }
                        });
        return new AuxiliaryHttpServer.Response(
                OK, "text/plain", text.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void appendLine(StringBuilder text, String name, String value) {
        text.append("bergamothoist_").append(name.replace('-', '_').replace('.', '_'));
        text.append(' ').append(value).append('\n');
    }
}
