package org.bergamothoist.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Prints a sheet's verdict and reach, and returns the exit code that goes with them. */
final class SheetAnswers {

    private SheetAnswers() {}

    /** Prints the status of a sheet. */
    static int print(JsonNode status, Output output, boolean json) {
        if (json) {
            output.json(status);
        } else {
            describe(status, output);
        }
        return switch (status.path("reach").asText()) {
            case "in_force" -> ExitCodes.SUCCESS;
            case "recorded" -> ExitCodes.NOT_YET_IN_FORCE;
            default -> ExitCodes.REFUSED;
        };
    }

    private static void describe(JsonNode status, Output output) {
        JsonNode verdict = status.path("verdict");
        output.line(
                "sheet "
                        + verdict.path("digest").asText()
                        + " at offset "
                        + verdict.path("offset").asText()
                        + ": "
                        + reach(status.path("reach").asText()));
        for (JsonNode daemon : status.path("lagging")) {
            output.line("not confirmed by daemon " + daemon.asText());
        }
        for (JsonNode conflict : verdict.path("conflicts")) {
            output.line(
                    "%s: sheet was made from version %s, current version %s is by office %s"
                            .formatted(
                                    conflict.path("organisation").asText(),
                                    conflict.path("base_version").asText(),
                                    conflict.path("current_version").asText(),
                                    conflict.path("changed_by").asText()));
        }
    }

    private static String reach(String reach) {
        return switch (reach) {
            case "in_force" -> "accepted and in force";
            case "recorded" -> "recorded, not yet in force";
            default -> "refused";
        };
    }
}
