package org.bergamothoist.gateway.control;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.nio.charset.StandardCharsets;

/** Prints counters and histograms as text, one figure a line. */
public final class MetricsPage {

    private static final int SUCCESS = 200;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};

    private final MetricRegistry registry;

    /** Creates the page of a registry. */
    public MetricsPage(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the page. */
    public SideServer.SideAnswer answer() {
        StringBuilder page = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) -> line(page, name, "" + counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> line(page, name, "" + gauge.getValue()));
        registry.getHistograms()
                .forEach(
                        (name, histogram) -> {
                            line(page, name + "_count", "" + histogram.getCount());
                            Snapshot snapshot = histogram.getSnapshot();
                            for (double quantile : QUANTILES) {
                                line(
                                        page,
                                        name + "{quantile=\"" + quantile + "\"}",
                                        "" + snapshot.getValue(quantile));
                            }
                        });
        return new SideServer.SideAnswer(
                SUCCESS, "text/plain", page.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void line(StringBuilder page, String name, String value) {
        page.append("bergamothoist_").append(name.replace('-', '_').replace('.', '_'));
        page.append(' ').append(value).append('\n');
    }
}
