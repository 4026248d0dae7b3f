package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.config.Property;
import org.bergamothoist.core.decision.DecisionKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StructuredDecisionLogTest {

    private static final String LOGGER_NAME = "decisions";
    private static final int LINES_OF_ONE_MOMENT = 1_600;

    private final LoggerContext context = LoggerContext.getContext(false);
    private final RecordingAppender appender = new RecordingAppender();
    private final MetricRegistry metrics = new MetricRegistry();
    private final StructuredDecisionLog log =
            new StructuredDecisionLog("daemon-1", InstantSource.fixed(Instant.EPOCH), metrics);

    private static final class RecordingAppender extends AbstractAppender {

        private final List<String> lines = new ArrayList<>();

        RecordingAppender() {
            super("recording", null, null, false, Property.EMPTY_ARRAY);
        }

        @Override
        public void append(LogEvent event) {
            lines.add(event.getMessage().getFormattedMessage());
        }
    }

    @BeforeEach
    void record() {
        appender.start();
        LoggerConfig decisions = new LoggerConfig(LOGGER_NAME, Level.INFO, false);
        decisions.addAppender(appender, Level.INFO, null);
        context.getConfiguration().addLogger(LOGGER_NAME, decisions);
        context.updateLoggers();
    }

    @AfterEach
    void stopRecording() {
        context.getConfiguration().removeLogger(LOGGER_NAME);
        context.updateLoggers();
    }

    private void writeEnds() {
        for (int index = 0; index < LINES_OF_ONE_MOMENT; index++) {
            log.write(DecisionKind.REQUEST_ENDED, "id-" + index, () -> "", "ended");
        }
    }

    private long linesOf(String event) {
        return appender.lines.stream()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .count();
    }

    /** Guards against a log that grows without bound while many requests end. */
    @Test
    void linesOfAKindAreLimitedWhileTheDaemonServes() {
        writeEnds();
        assertThat(linesOf("request-ended")).isEqualTo(200);
    }

    /**
     * Guards against lines that are missing because all requests in progress end at one moment of a
     * planned stop, and against lines that are missing without a count before the last line.
     */
    @Test
    void aStopWritesTheEndOfEachRequestAndCountsWhatItSuppresses() {
        log.write(DecisionKind.DAEMON_STOPPING, "daemon-1", () -> "", "not ready");
        writeEnds();
        log.write(DecisionKind.DAEMON_STOPPED, "daemon-1", () -> "", "stopped");
        assertThat(linesOf("request-ended")).isEqualTo(1_500);
        List<String> last = appender.lines.subList(1_501, appender.lines.size());
        assertThat(last).hasSize(2);
        assertThat(last.get(0)).contains("\"event\":\"lines-suppressed\"", "lines=100");
        assertThat(last.get(1)).contains("\"event\":\"daemon-stopped\"");
    }

    /** Guards against lines behind the last one, from connections that the end has closed. */
    @Test
    void nothingIsWrittenAfterTheLastLine() {
        log.write(DecisionKind.DAEMON_STOPPED, "daemon-1", () -> "", "stopped");
        log.write(DecisionKind.DEPENDENCY_LOST, "store", () -> "", "not read");
        assertThat(appender.lines).hasSize(1);
    }
}
