package org.bergamothoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import org.bergamothoist.core.timeline.Timestamp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Merges the events of several daemons by their hybrid logical clocks. */
@Command(
        name = "timeline",
        mixinStandardHelpOptions = true,
        description = "Prints the events of one or more daemons in causal order.")
final class TimelineCommand implements Callable<Integer> {

    private static final int OK = 200;

    @Spec private CommandSpec spec;

    @Option(
            names = "--daemon",
            required = true,
            split = ",",
            paramLabel = "HOST:PORT",
            description = "callers' address of a daemon; may be repeated")
    private List<String> daemons;

    @Option(
            names = "--key",
            paramLabel = "KEY",
            defaultValue = "${env:BERGAMOTHOIST_OPERATOR_KEY}",
            description = "operator key; by default from BERGAMOTHOIST_OPERATOR_KEY")
    private String key;

    @Option(
            names = "--after",
            paramLabel = "STAMP",
            defaultValue = "0.0",
            description = "print events after this stamp, milliseconds.counter")
    private String after;

    @Option(names = "--json", description = "print the events as JSON")
    private boolean json;

    @Override
    public Integer call() {
        List<JsonNode> events = new ArrayList<>();
        int unreachable = 0;
        for (String daemon : daemons) {
            try {
                String path = "/operator/timeline?after=" + after;
                new DaemonClient(daemon, key).get(path).require(OK).json().forEach(events::add);
            } catch (CommandException exception) {
                spec.commandLine().getErr().println(exception.getMessage());
                unreachable++;
            }
        }
        events.sort(Comparator.comparing(TimelineCommand::stamp));
        print(events);
        return unreachable == 0 ? ExitCodes.SUCCESS : ExitCodes.UNAVAILABLE;
    }

    private void print(List<JsonNode> events) {
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(events);
            return;
        }
        for (JsonNode event : events) {
            Timestamp stamp = stamp(event);
            output.line(
                    "%s.%d %s %s %s %s"
                            .formatted(
                                    Instant.ofEpochMilli(stamp.milliseconds()),
                                    stamp.counter(),
                                    event.path("daemon").asText(),
                                    event.path("kind").asText(),
                                    event.path("subject").asText(),
                                    event.path("detail").asText()));
        }
    }

    private static Timestamp stamp(JsonNode event) {
        JsonNode stamp = event.path("timestamp");
        return new Timestamp(
                stamp.path("milliseconds").longValue(), stamp.path("counter").intValue());
    }
}
