package org.bergamothoist.gateway.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Writes decisions as JSON lines through a logger that drops lines instead of blocking. Limits the
 * rate of each kind of decision and logs the number of suppressed lines. Confined to the event
 * loop.
 */
public final class StructuredDecisionLog implements DecisionLog {

    /** Maximum lines of a kind per second: about five times those of a daemon at full load. */
    private static final int MAXIMUM_LINES = 200;

    /**
     * The same while the daemon stops, when all requests in progress may end at one moment. Less
     * than the lines that the logger holds before it drops any.
     */
    private static final int MAXIMUM_LINES_STOPPING = 1_500;

    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final Logger LOGGER = LogManager.getLogger("decisions");
    private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

    private final String daemon;
    private final InstantSource wallClock;
    private final Counter suppressedCounter;
    private final Map<DecisionKind, Integer> linesByKind = new EnumMap<>(DecisionKind.class);
    private Instant windowStart;
    private long suppressedInWindow;
    private int maximumLines = MAXIMUM_LINES;

    /** Whether the last line has been written; what follows comes of closed connections only. */
    private boolean complete;

    /**
     * Creates a log.
     *
     * @param daemon name of this daemon, which each line contains
     * @param wallClock source of the timestamps
     */
    public StructuredDecisionLog(String daemon, InstantSource wallClock, MetricRegistry metrics) {
        this.daemon = daemon;
        this.wallClock = wallClock;
        this.windowStart = wallClock.instant();
        this.suppressedCounter = metrics.counter("log-lines-suppressed");
    }

    @Override
    public void write(DecisionKind kind, String subject, Supplier<String> inputs, String outcome) {
        if (complete) {
            return;
        }
        complete = kind == DecisionKind.DAEMON_STOPPED;
        Instant now = wallClock.instant();
        if (complete || now.isAfter(windowStart.plus(WINDOW)) || now.isBefore(windowStart)) {
            startWindow(now);
        }
        if (kind == DecisionKind.DAEMON_STOPPING) {
            maximumLines = MAXIMUM_LINES_STOPPING;
        }
        if (linesByKind.merge(kind, 1, Integer::sum) > maximumLines) {
            suppressedInWindow++;
            suppressedCounter.inc();
            return;
        }
        LOGGER.info(format(now, kind, subject, inputs.get(), outcome));
    }

    private void startWindow(Instant now) {
        windowStart = now;
        linesByKind.clear();
        if (suppressedInWindow > 0) {
            long lines = suppressedInWindow;
            suppressedInWindow = 0;
            LOGGER.info(
                    format(now, DecisionKind.LINES_SUPPRESSED, "log", "lines=" + lines, "dropped"));
        }
    }

    private String format(
            Instant now, DecisionKind kind, String subject, String inputs, String outcome) {
        StringBuilder line = new StringBuilder(200);
        line.append("{\"time\":\"").append(now).append("\",\"daemon\":\"").append(daemon);
        line.append("\",\"event\":\"").append(eventName(kind)).append("\",\"subject\":\"");
        ENCODER.quoteAsString(subject, line);
        line.append("\",\"inputs\":\"");
        ENCODER.quoteAsString(inputs, line);
        line.append("\",\"outcome\":\"");
        ENCODER.quoteAsString(outcome, line);
        return line.append("\"}").toString();
    }

    private static String eventName(DecisionKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
