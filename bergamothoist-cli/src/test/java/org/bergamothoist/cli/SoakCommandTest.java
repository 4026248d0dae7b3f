package org.bergamothoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.bergamothoist.platform.soak.GatewaySoak;
import org.bergamothoist.platform.soak.PlannedStopCheck;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class SoakCommandTest {

    @TempDir private Path directory;

    /** Guards against a broken promise, or an option without sense, that passes for success. */
    @ParameterizedTest
    @CsvSource({
        "--runs=3, '', 0, 3",
        "--runs=3, broken, 1, 3",
        "--runs=0, '', 2, 0",
        "--daemons=0, '', 2, 0",
        "--seconds=0, '', 2, 0",
        "--gateway=missing.jar, '', 2, 0"
    })
    void exitCodeTellsBrokenPromisesAndWrongOptions(
            String option, String violation, int exitCode, int lines) throws Exception {
        Path jar = Files.createFile(directory.resolve("gateway.jar"));
        List<String> violations = violation.isEmpty() ? List.of() : List.of(violation);
        SoakCommand command =
                new SoakCommand(
                        (settings, logs) ->
                                new GatewaySoak.Report(
                                        settings,
                                        Map.of(),
                                        Map.of(),
                                        0,
                                        0,
                                        new PlannedStopCheck.Result(0, 0, 0, Map.of(), List.of()),
                                        violations));
        StringWriter out = new StringWriter();
        int code =
                new CommandLine(command)
                        .setOverwrittenOptionsAllowed(true)
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(new StringWriter()))
                        .execute("--gateway", jar.toString(), "--directory", "logs", option);
        assertThat(code).isEqualTo(exitCode);
        assertThat(out.toString().lines()).hasSize(lines);
    }
}
