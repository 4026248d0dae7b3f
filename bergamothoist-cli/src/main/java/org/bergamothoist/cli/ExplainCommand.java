package org.bergamothoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Collects the lines of gateways' logs that concern one request, in the order of their time. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description =
                "Prints every decision about a request from the logs of gateways, and what those"
                        + " daemons noted about the targets it was sent to.")
final class ExplainCommand implements Callable<Integer> {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DISPATCHED = "request-dispatched";

    @Spec private CommandSpec spec;

    @Option(names = "--json", description = "print the lines as they were logged")
    private boolean json;

    @Parameters(index = "0", paramLabel = "REQUEST", description = "identifier of the request")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "log files")
    private List<Path> files;

    private record LogLine(
            String time,
            String daemon,
            String event,
            String subject,
            String inputs,
            String outcome,
            String text) {}

    @Override
    public Integer call() {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> text = Files.lines(file)) {
                text.map(ExplainCommand::parse).flatMap(Optional::stream).forEach(lines::add);
            } catch (IOException | UncheckedIOException exception) {
                spec.commandLine().getErr().println(file + " cannot be read: " + exception);
                return ExitCodes.REFUSED;
            }
        }
        List<LogLine> own = lines.stream().filter(line -> line.subject().equals(request)).toList();
        if (own.isEmpty()) {
            spec.commandLine().getErr().println("no line concerns request " + request);
            return ExitCodes.REFUSED;
        }
        Set<String> targets = new HashSet<>();
        own.stream()
                .filter(line -> line.event().equals(DISPATCHED))
                .forEach(line -> targets.add(line.outcome()));
        Set<String> daemons = new HashSet<>();
        own.forEach(line -> daemons.add(line.daemon()));
        Output output = new Output(spec.commandLine().getOut());
        lines.stream()
                .filter(
                        line ->
                                line.subject().equals(request)
                                        || targets.contains(line.subject())
                                                && daemons.contains(line.daemon()))
                .sorted(Comparator.comparing(LogLine::time))
                .forEach(line -> output.line(json ? line.text() : print(line)));
        return ExitCodes.SUCCESS;
    }

    private static String print(LogLine line) {
        return String.join(
                "  ",
                line.time(),
                line.daemon(),
                line.event(),
                line.subject(),
                line.outcome(),
                "(" + line.inputs() + ")");
    }

    /** Reads a line; text before the JSON object is ignored, as log collectors add some. */
    private static Optional<LogLine> parse(String text) {
        int start = text.indexOf("{\"time\"");
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = JSON.readTree(text.substring(start));
            return Optional.of(
                    new LogLine(
                            node.path("time").asText(),
                            node.path("daemon").asText(),
                            node.path("event").asText(),
                            node.path("subject").asText(),
                            node.path("inputs").asText(),
                            node.path("outcome").asText(),
                            text.substring(start)));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }
}
