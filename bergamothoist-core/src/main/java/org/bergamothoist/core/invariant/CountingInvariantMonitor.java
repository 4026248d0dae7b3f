package org.bergamothoist.core.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Counts, records and logs the violations of each guarantee, and throws an exception if violations
 * are fatal. Thread-safe.
 */
public final class CountingInvariantMonitor implements InvariantMonitor {

    /** System property that makes violations fatal if its value is {@value #FATAL}. */
    public static final String PROPERTY = "bergamothoist.invariants";

    /** Value of the property that makes violations fatal. */
    public static final String FATAL = "fatal";

    private static final Logger LOGGER = LogManager.getLogger(CountingInvariantMonitor.class);

    private final Map<Guarantee, Counter> violations = new EnumMap<>(Guarantee.class);
    private final Timeline timeline;
    private final boolean fatal;

    /** Creates a monitor; the system property decides whether violations are fatal. */
    public CountingInvariantMonitor(MetricRegistry metrics, Timeline timeline) {
        this(metrics, timeline, FATAL.equals(System.getProperty(PROPERTY)));
    }

    /**
     * Creates a monitor.
     *
     * @param fatal whether a violation throws an exception
     */
    public CountingInvariantMonitor(MetricRegistry metrics, Timeline timeline, boolean fatal) {
        this.timeline = Objects.requireNonNull(timeline);
        this.fatal = fatal;
        for (Guarantee guarantee : Guarantee.values()) {
            violations.put(guarantee, metrics.counter(metricName(guarantee)));
        }
    }

    /**
     * {@inheritDoc}
     *
     * @throws BergamothoistException with {@link ErrorCode#INVARIANT_VIOLATED} if violations are
     *     fatal
     */
    @Override
    public void check(Guarantee guarantee, boolean holds, Supplier<String> detail) {
        if (holds) {
            return;
        }
        violations.get(guarantee).inc();
        String text = detail.get();
        timeline.record(EventKind.INVARIANT_VIOLATED, guarantee.name(), text);
        LOGGER.error("guarantee {} is violated: {}", guarantee, text);
        if (fatal) {
            throw new BergamothoistException(
                    ErrorCode.INVARIANT_VIOLATED, guarantee + " is violated: " + text);
        }
    }

    /** Returns the number of violations of each guarantee since the registry was created. */
    public Map<Guarantee, Long> violations() {
        Map<Guarantee, Long> counts = new EnumMap<>(Guarantee.class);
        violations.forEach((guarantee, counter) -> counts.put(guarantee, counter.getCount()));
        return counts;
    }

    private static String metricName(Guarantee guarantee) {
        String name = guarantee.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return MetricRegistry.name("invariant", "violations", name);
    }
}
