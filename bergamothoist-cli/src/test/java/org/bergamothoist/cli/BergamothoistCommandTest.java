package org.bergamothoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.inject.AbstractModule;
import com.sun.net.httpserver.HttpServer;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.SheetModule;
import org.bergamothoist.daemon.operator.SheetFault;
import org.bergamothoist.daemon.operator.SheetFaultsException;
import org.bergamothoist.daemon.operator.SheetParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

class BergamothoistCommandTest {

    private static final String STATUS =
            """
            {"verdict":{"digest":"d1","offset":7,"conflicts":[{"organisation":"clinic",
            "base_version":1,"current_version":3,"changed_by":"bern"}]},
            "reach":"%s","lagging":["bern-b-1#5"]}
            """;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private HttpServer server;
    @TempDir private Path directory;

    @BeforeEach
    void start() throws Exception {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    private String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void answer(String path, int status, String body) {
        server.createContext(
                path,
                exchange -> {
                    boolean known =
                            "Bearer k"
                                    .equals(exchange.getRequestHeaders().getFirst("Authorization"));
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(known ? status : 401, bytes.length);
                    exchange.getResponseBody().write(bytes);
                    exchange.close();
                });
    }

    /** Parses lines "organisation,version,weight"; a line "fault" is a fault. */
    private static final class Parts extends AbstractModule {

        @Override
        protected void configure() {
            bind(SheetParser.class).toInstance(Parts::parse);
        }

        private static List<OrganisationEntry> parse(String csv) {
            if (csv.contains("fault")) {
                throw new SheetFaultsException(
                        List.of(new SheetFault(2, "weight", "a"), new SheetFault(3, "", "b")));
            }
            return csv.lines()
                    .map(line -> line.split(","))
                    .map(
                            fields ->
                                    new OrganisationEntry(
                                            new OrganisationId(fields[0]),
                                            Long.parseLong(fields[1]),
                                            "",
                                            List.of(),
                                            List.of(),
                                            new OrganisationLimits(
                                                    1, 1, Integer.parseInt(fields[2]))))
                    .toList();
        }
    }

    private int run(String... arguments) {
        CommandLine commandLine =
                BergamothoistCommand.commandLine(Parts::new, new Parts(), Map.of());
        return commandLine
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    /** Guards against parts that only a daemon has: the real parser must work without one. */
    @Test
    void productionPartsReportEveryFaultOfASheet() throws Exception {
        List<String> header =
                List.of(
                        "organisation",
                        "base_version",
                        "key_digest",
                        "kind",
                        "model",
                        "adapter",
                        "version",
                        "service",
                        "path_prefix",
                        "non_idempotent",
                        "requests_per_second",
                        "concurrent_streams",
                        "weight");
        String row = "atelier,0,short,model,m,,v1,,,maybe,10,10,1";
        String sheet = String.join(",", header) + "\n" + row + "\n";
        int code =
                BergamothoistCommand.commandLine(ProductionModule::new, new SheetModule(), Map.of())
                        .setOut(new PrintWriter(out, true))
                        .setErr(new PrintWriter(err, true))
                        .execute("sheet", "check", file(sheet));
        assertThat(code).isEqualTo(1);
        assertThat(out.toString() + err).contains("row 2", "key_digest", "non_idempotent");
    }

    private String file(String text) throws Exception {
        Path file = directory.resolve("file");
        Files.writeString(file, text);
        return file.toString();
    }

    static Stream<String> commands() {
        return Stream.of(
                "",
                "serve",
                "check-settings",
                "sheet",
                "sheet check",
                "sheet submit",
                "sheet status",
                "sheet show",
                "sheet difference",
                "status",
                "timeline");
    }

    /** Guards against commands without help. */
    @ParameterizedTest
    @MethodSource("commands")
    void everyCommandHasHelp(String command) {
        String[] words =
                Stream.concat(
                                Arrays.stream(command.split(" ")).filter(word -> !word.isEmpty()),
                                Stream.of("--help"))
                        .toArray(String[]::new);
        assertThat(run(words)).isZero();
        assertThat(out.toString()).contains("Usage: bergamothoist " + command);
    }

    /** Guards against wrong use that looks like success. */
    @ParameterizedTest
    @CsvSource({"sheet", "serve", "nothing", "status"})
    void wrongUseHasItsOwnCode(String command) {
        assertThat(run(command)).isEqualTo(ExitCodes.USAGE);
    }

    /** Guards against a start with wrong settings, or a check that stops at the first fault. */
    @ParameterizedTest
    @CsvSource({"check-settings", "serve"})
    void printsAllSettingsFaults(String command) throws Exception {
        assertThat(run(command, file("{\"block_tokens\": 0}"))).isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString() + err)
                .contains("block_tokens: must", "daemon: is missing", "operators: must");
    }

    /** Guards against faults that programs cannot read. */
    @Test
    void printsFaultsAsJson() throws Exception {
        assertThat(run("check-settings", "--json", file("{}"))).isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString()).contains("\"key\" : \"daemon\"");
    }

    /** Guards against a sheet whose faults come one at a time, or without their place. */
    @Test
    void printsAllSheetFaults() throws Exception {
        assertThat(run("sheet", "check", file("fault"))).isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString()).contains("row 2, column weight: a").contains("row 3: b");
        assertThat(run("sheet", "check", file("clinic,0,1"))).isZero();
    }

    /** Guards against an operator who takes a recorded or refused sheet for one in force. */
    @ParameterizedTest
    @CsvSource({
        "200, in_force, 0, accepted and in force",
        "202, recorded, 4, recorded",
        "409, refused, 1, clinic: sheet was made from version 1"
    })
    void submitsSheets(int status, String reach, int code, String message) throws Exception {
        answer("/operator/sheets", status, STATUS.formatted(reach));
        String sheet = file("clinic,0,1");
        assertThat(run("sheet", "submit", sheet, "--daemon", address(), "--key", "k"))
                .isEqualTo(code);
        assertThat(out.toString()).contains(message, "bern-b-1#5");
        assertThat(run("sheet", "submit", sheet, "--daemon", address(), "--key", "x"))
                .isEqualTo(ExitCodes.UNAVAILABLE);
        assertThat(err.toString()).contains("UNAUTHENTICATED");
    }

    /** Guards against a difference that hides the other office's change. */
    @Test
    void showsDifference() throws Exception {
        answer("/operator/sheets/current", 200, "clinic,3,1\nsame,4,1\nold,5,1\n");
        String sheet = file("clinic,3,2\nsame,1,1\nold,2,9\nnew,0,1\n");
        assertThat(run("sheet", "difference", sheet, "--daemon", address(), "--key", "k"))
                .isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString().lines())
                .containsExactly(
                        "clinic: version 3",
                        "  ~ weight: 1 -> 2",
                        "new: new organisation",
                        "  + caller key: ",
                        "  + requests per second: 1",
                        "  + concurrent streams: 1",
                        "  + weight: 1",
                        "old: version 5, but the sheet is based on 2",
                        "  ~ weight: 1 -> 9");
    }

    /** Guards against a refusal that does not tell what the other office changed. */
    @Test
    void refusedSubmissionShowsWhatTheOtherOfficeChanged() throws Exception {
        answer("/operator/sheets/current", 200, "clinic,3,7\n");
        answer("/operator/sheets", 409, STATUS.formatted("refused"));
        String sheet = file("clinic,1,2\n");
        assertThat(run("sheet", "submit", sheet, "--daemon", address(), "--key", "k"))
                .isEqualTo(ExitCodes.REFUSED);
        assertThat(out.toString())
                .contains("current version 3 is by office bern", "  ~ weight: 7 -> 2");
    }

    /** Guards against a timeline in arrival order, and against silence about a daemon. */
    @Test
    void mergesTimelines() throws Exception {
        answer(
                "/operator/timeline",
                200,
                "[{\"timestamp\":{\"milliseconds\":5,\"counter\":2},\"daemon\":\"a#1\",\"kind\":"
                        + "\"peer_up\",\"subject\":\"s\",\"detail\":\"second\"},"
                        + "{\"timestamp\":{\"milliseconds\":5,\"counter\":1},\"daemon\":\"b#1\","
                        + "\"kind\":\"peer_up\",\"subject\":\"s\",\"detail\":\"first\"}]");
        assertThat(run("timeline", "--daemon", address() + ",127.0.0.1:1", "--key", "k"))
                .isEqualTo(ExitCodes.UNAVAILABLE);
        assertThat(out.toString().lines())
                .containsExactly(
                        "1970-01-01T00:00:00.005Z.1 b#1 peer_up s first",
                        "1970-01-01T00:00:00.005Z.2 a#1 peer_up s second");
        assertThat(err.toString()).contains("127.0.0.1:1 cannot be reached");
    }

    /** Guards against a daemon that starts although a part is missing. */
    @Test
    void reportsMissingParts() throws Exception {
        String settings =
                Files.readString(Path.of("..", "deployments", "brunner", "settings.json"))
                        .replace("10.20.1.11", "127.0.0.1")
                        .replace("\"environment\"", "\"value\"")
                        .replace("BERGAMOTHOIST_DEPLOYMENT_KEY", "k".repeat(32));
        assertThat(run("serve", file(settings))).isEqualTo(ExitCodes.UNAVAILABLE);
        assertThat(err.toString()).contains("parts of the daemon are missing", "RouterFactory");
    }
}
