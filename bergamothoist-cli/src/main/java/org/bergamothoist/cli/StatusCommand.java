package org.bergamothoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Shows the state of a daemon, its peers and its targets. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows the state of a daemon, its peers and its targets.")
final class StatusCommand implements Callable<Integer> {

    private static final int OK = 200;

    @Spec private CommandSpec spec;

    @Mixin private DaemonOptions daemon;

    @Option(names = "--json", description = "print the state as JSON")
    private boolean json;

    @Override
    public Integer call() {
        JsonNode status = daemon.client().get("/operator/status").require(OK).json();
        Output output = new Output(spec.commandLine().getOut());
        if (json) {
            output.json(status);
        } else {
            describe(status, output);
        }
        return ExitCodes.SUCCESS;
    }

    private static void describe(JsonNode status, Output output) {
        output.line(
                "daemon %s in %s: %s, configuration %s at offset %s, %s running requests"
                        .formatted(
                                text(status, "daemon"),
                                text(status, "data_centre"),
                                text(status, "status"),
                                text(status, "configuration"),
                                text(status, "applied_offset"),
                                text(status, "running_requests")));
        for (JsonNode peer : status.path("peers")) {
            output.line(
                    "peer %s at %s: %s, %s, offset %s"
                            .formatted(
                                    text(peer, "daemon"),
                                    text(peer, "caller_address"),
                                    text(peer, "status"),
                                    peer.path("live").asBoolean() ? "live" : "silent",
                                    text(peer, "applied_offset")));
        }
        for (JsonNode target : status.path("targets")) {
            output.line(
                    "target %s of %s: %s, incarnation %s, %s outstanding"
                            .formatted(
                                    text(target, "target"),
                                    text(target, "group"),
                                    text(target, "state"),
                                    text(target, "incarnation"),
                                    text(target, "outstanding")));
        }
        for (Map.Entry<String, JsonNode> violation : status.path("violations").properties()) {
            output.line(
                    "violations of " + violation.getKey() + ": " + violation.getValue().asText());
        }
    }

    private static String text(JsonNode node, String field) {
        return node.path(field).asText();
    }
}
