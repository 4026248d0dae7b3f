package org.bergamothoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.SheetModule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class GatewayCommandsTest {

    private static final String SETTINGS =
            """
            {"daemon":"d","data_centre":"a","callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
            "directory":"127.0.0.1:3","peers":"127.0.0.1:4","metrics":"127.0.0.1:5","seeds":[],
            "store":"127.0.0.1:6","order_lease_milliseconds":3000,"grace_seconds":8,
            "retry_share":0.1,"longest_outdated_milliseconds":15000}
            """;

    @TempDir private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        CommandLine line =
                BergamothoistCommand.commandLine(
                        ProductionModule::new, new SheetModule(), Map.of());
        return line.setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    @Test
    void correctSettingsAreAccepted() throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
        assertThat(run("check-gateway-settings", file.toString())).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "\"daemon\":\"d\",,daemon: missing",
        "127.0.0.1:6,nowhere,store: 'nowhere'",
        "127.0.0.1:5,127.0.0.1:99999,metrics:",
        "\"retry_share\":0.1,\"retry_share\":7,retry_share: must",
        "\"seeds\":[],\"seeds\":[,settings.json",
    })
    void faultsAreNamedWithTheirKey(String correct, String wrong, String fault) throws IOException {
        String text =
                wrong == null
                        ? SETTINGS.replace(correct + ",", "")
                        : SETTINGS.replace(correct, wrong);
        Path file = Files.writeString(folder.resolve("settings.json"), text);
        assertThat(run("check-gateway-settings", file.toString())).isEqualTo(ExitCodes.REFUSED);
        assertThat(err.toString()).contains(fault);
    }

    private static String line(String time, String event, String subject, String outcome) {
        String format =
                "{'time':'%s','daemon':'d','event':'%s','subject':'%s','inputs':'i',"
                        + "'outcome':'%s'}";
        return format.replace('\'', '"').formatted(time, event, subject, outcome);
    }

    @Test
    void explainPrintsTheDecisionsOnARequestAndItsTargetInOrder() throws IOException {
        Path first =
                Files.writeString(
                        folder.resolve("first.log"),
                        String.join(
                                "\n",
                                "  2.5 d " + line("T3", "request-ended", "r-1", "502"),
                                line("T1", "request-dispatched", "r-1", "i-1"),
                                "not a line of the log",
                                line("T2", "request-dispatched", "r-2", "i-2")));
        Path second =
                Files.writeString(
                        folder.resolve("second.log"),
                        line("T2", "target-changed", "i-1", "REMOVED")
                                + "\n"
                                + line("T2", "target-changed", "i-2", "REMOVED"));
        assertThat(run("explain", "r-1", first.toString(), second.toString())).isZero();
        assertThat(out.toString().lines())
                .hasSize(3)
                .first()
                .matches(text -> text.contains("request-dispatched"));
        assertThat(out.toString()).contains("i-1  REMOVED").doesNotContain("r-2", "i-2");
    }

    @Test
    void explainSaysThatNoLineConcernsTheRequest() throws IOException {
        Path file = Files.writeString(folder.resolve("a.log"), line("T1", "x", "r-1", "y"));
        assertThat(run("explain", "r-9", file.toString())).isEqualTo(ExitCodes.REFUSED);
        assertThat(err.toString()).contains("r-9");
    }
}
