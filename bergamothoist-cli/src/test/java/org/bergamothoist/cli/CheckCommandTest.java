package org.bergamothoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import org.bergamothoist.measure.check.CheckReport;
import org.bergamothoist.measure.check.Property;
import org.bergamothoist.measure.check.Violation;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class CheckCommandTest {

    private final StringWriter out = new StringWriter();

    /** Guards against a broken property that a script takes for success. */
    @Test
    void printsSeedAndTraceOfAViolation() {
        Violation violation =
                new Violation(
                        Property.values()[0],
                        8,
                        Duration.ofSeconds(3),
                        "it broke",
                        List.of("crash engine-1"));
        assertThat(run(List.of(violation))).isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString()).contains("seed 8").contains("    crash engine-1");
        assertThat(lastLine()).contains("5 runs from seed 7").endsWith("1 violations");
    }

    /** Guards against a summary that is not the last line. */
    @Test
    void summarisesRunsWithoutViolations() {
        assertThat(run(List.of())).isEqualTo(ExitCodes.SUCCESS);
        assertThat(lastLine()).contains("5 runs from seed 7").endsWith("0 violations");
    }

    private String lastLine() {
        List<String> lines = out.toString().lines().toList();
        return lines.get(lines.size() - 1);
    }

    private int run(List<Violation> violations) {
        CheckCommand command =
                new CheckCommand(
                        (seed, runs, listener) ->
                                new CheckReport(seed, runs, 42, violations, new TreeMap<>(), "d1"));
        return new CommandLine(command)
                .setOut(new PrintWriter(out, true))
                .execute("--seed", "7", "--runs", "5");
    }
}
