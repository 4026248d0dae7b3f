package org.bergamothoist.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.bergamothoist.cli.demo.ExampleDeployment;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.daemon.ProductionModule;
import org.bergamothoist.daemon.SheetModule;
import org.bergamothoist.standin.Deployment;
import org.bergamothoist.standin.client.CallerSettings;
import org.bergamothoist.standin.client.CallerTransport;
import org.bergamothoist.standin.client.CompletionCaller;
import org.bergamothoist.standin.client.CompletionRequest;
import org.bergamothoist.standin.client.CompletionResult;
import org.bergamothoist.standin.client.ExampleKeys;
import org.bergamothoist.standin.client.ExecutionAudit;
import org.bergamothoist.standin.client.OutcomeKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three daemons and the stand-ins, each in a process of its own. */
class ProcessesTest {

    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final int DAEMONS = 3;
    private static final int STREAMS = 8;

    /** An answer of this length takes about 4 s, so that faults fall into the middle of it. */
    /** Enough for streams to be still running when the process is killed, on a busy machine too. */
    private static final int TOKENS = 2_000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient http = HttpClient.newHttpClient();
    private final CallerTransport transport = new CallerTransport(InstantSource.system(), 1);
    private final ExampleDeployment example = ExampleDeployment.load(Deployment.BRUNNER);
    private final ModelKey model = example.models().get(0);
    private final List<Process> started = new ArrayList<>();
    private final Process[] daemons = new Process[DAEMONS];
    private final String[] addresses = new String[DAEMONS];
    private JsonNode platform;
    @TempDir private Path directory;

    @AfterEach
    void endProcesses() throws Exception {
        transport.close();
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            process.waitFor();
        }
    }

    /**
     * Guards against streams that are cut, repeated or out of order when a daemon's process is
     * killed or asked to stop, and against bookings that run twice.
     */
    @Test
    void callersGetWholeAnswersWhileProcessesDie() throws Exception {
        startAll();

        List<CompletableFuture<CompletionResult>> streams = sendThrough(0);
        awaitRunning(0);
        daemons[0].destroyForcibly().waitFor();
        List<CompletionResult> resumed = results(streams);
        assertWhole(resumed.subList(0, STREAMS));
        assertThat(resumed.subList(0, STREAMS)).anyMatch(result -> result.resumes() > 0);
        assertAtMostOnce(resumed);

        startDaemon(0);
        CompletionResult afterRestart =
                CompletionCaller.pinned(transport, caller(0))
                        .complete(CompletionRequest.of(model, "Is it open?", 5))
                        .get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        assertWhole(List.of(afterRestart));

        streams = sendThrough(1);
        awaitRunning(1);
        daemons[1].destroy();
        List<CompletionResult> uncut = results(streams);
        assertWhole(uncut);
        assertThat(uncut).extracting(CompletionResult::resumes).containsOnly(0);
        assertAtMostOnce(uncut);
        assertThat(daemons[1].waitFor(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
        assertThat(daemons[1].exitValue()).isZero();
    }

    private void startAll() throws Exception {
        Process standIn =
                start(
                        "stand-in",
                        "stand-in",
                        "--deployment",
                        "brunner",
                        "--daemons",
                        String.valueOf(DAEMONS),
                        "--settings",
                        directory.toString());
        platform = mapper.readTree(standIn.getInputStream());
        for (int index = 0; index < DAEMONS; index++) {
            JsonNode address = mapper.readTree(settings(index).toFile()).path("caller_address");
            addresses[index] = address.path("host").asText() + ":" + address.path("port").asText();
            startDaemon(index);
        }
        Awaitility.await().atMost(LIMIT).ignoreExceptions().until(this::allNamed);
        Awaitility.await().atMost(LIMIT).until(() -> submitSheet() == ExitCodes.SUCCESS);
    }

    private void startDaemon(int index) throws Exception {
        daemons[index] = start("serve-" + index, "serve", settings(index).toString());
    }

    private Path settings(int index) {
        return Path.of(platform.path("settings").get(index).asText());
    }

    private Process start(String name, String... arguments) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx256m", "-cp", System.getProperty("java.class.path")));
        command.add(BergamothoistCommand.class.getName());
        command.addAll(List.of(arguments));
        File log = directory.resolve(name + "-" + started.size() + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(log);
        builder.environment().put("BERGAMOTHOIST_LOG_LEVEL", "warn");
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private boolean allNamed() throws Exception {
        for (String address : addresses) {
            JsonNode answer = get("http://" + address + "/v1/addresses");
            if (answer.path("addresses").size() < DAEMONS) {
                return false;
            }
        }
        return true;
    }

    private int submitSheet() throws Exception {
        Path sheet = directory.resolve("sheet.csv");
        Files.copy(
                Path.of("../deployments/brunner/sheet.csv"),
                sheet,
                StandardCopyOption.REPLACE_EXISTING);
        return BergamothoistCommand.commandLine(ProductionModule::new, new SheetModule(), Map.of())
                .setOut(new PrintWriter(new StringWriter()))
                .execute(
                        "sheet",
                        "submit",
                        "--daemon",
                        addresses[2],
                        "--key",
                        ExampleKeys.operatorKey(example.operators().get(0).name()),
                        sheet.toString());
    }

    /** Sends streams and two bookings at the same time, all through one daemon at first. */
    private List<CompletableFuture<CompletionResult>> sendThrough(int daemon) {
        CompletionCaller caller = new CompletionCaller(transport, caller(daemon));
        return IntStream.range(0, STREAMS + 2)
                .mapToObj(number -> request("history ".repeat(100) + number, number >= STREAMS))
                .map(caller::complete)
                .toList();
    }

    private CompletionRequest request(String prompt, boolean booking) {
        CompletionRequest request = CompletionRequest.of(model, prompt, TOKENS);
        return booking ? request.nonIdempotent() : request;
    }

    private CallerSettings caller(int daemon) {
        List<String> known = new ArrayList<>(List.of(addresses));
        known.add(0, known.remove(daemon));
        return CallerSettings.of(example.sheet().get(0).organisation().value(), known);
    }

    /** Waits until callers have text: a stream that has not begun is sent again, not resumed. */
    private void awaitRunning(int daemon) {
        Awaitility.await().atMost(LIMIT).until(() -> begunStreams(daemon) >= STREAMS);
        Awaitility.await()
                .atMost(LIMIT)
                .until(() -> status(daemon).path("running_requests").asInt() >= STREAMS);
    }

    private int begunStreams(int daemon) throws Exception {
        JsonNode admin = mapper.readTree(settings(daemon).toFile()).path("admin_address");
        String address = admin.path("host").asText() + ":" + admin.path("port").asText();
        return get("http://" + address + "/metrics")
                .path("histograms")
                .path("dispatch.first-token-milliseconds")
                .path("count")
                .asInt();
    }

    private JsonNode status(int daemon) throws Exception {
        return get("http://" + addresses[daemon] + "/operator/status");
    }

    private JsonNode get(String url) throws Exception {
        String key = ExampleKeys.operatorKey(example.operators().get(0).name());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url))
                        .header("Authorization", "Bearer " + key)
                        .build();
        return mapper.readTree(http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private static List<CompletionResult> results(List<CompletableFuture<CompletionResult>> streams)
            throws Exception {
        List<CompletionResult> results = new ArrayList<>();
        for (CompletableFuture<CompletionResult> stream : streams) {
            results.add(stream.get(2 * LIMIT.toSeconds(), TimeUnit.SECONDS));
        }
        return results;
    }

    private static void assertWhole(List<CompletionResult> results) {
        for (CompletionResult result : results) {
            String summary =
                    "%s, %d resumes, %d characters, %s"
                            .formatted(
                                    result.sendings(),
                                    result.resumes(),
                                    result.text().length(),
                                    result.violations());
            assertThat(result.violations()).as(summary).isEmpty();
            assertThat(result.outcome()).as(summary).isEqualTo(OutcomeKind.ANSWERED);
            boolean whole = result.text().equals(result.request().expectedText());
            assertThat(whole).as(summary).isTrue();
        }
    }

    private void assertAtMostOnce(List<CompletionResult> results) {
        for (CompletionResult result : results) {
            assertThat(
                            ExecutionAudit.check(
                                    result.request().idempotent(),
                                    result.sendings(),
                                    this::executions))
                    .isEmpty();
        }
    }

    private int executions(String requestId) {
        try {
            return get(platform.path("control").asText() + "/executions/" + requestId)
                    .path("executions")
                    .asInt(-1);
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }
}
