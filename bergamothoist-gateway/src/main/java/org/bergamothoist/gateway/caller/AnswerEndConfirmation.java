package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.quarantine.BrokenRequest;
import org.bergamothoist.core.quarantine.TargetLossDetector;
import org.bergamothoist.gateway.client.ClientConnection;
import org.bergamothoist.gateway.client.UploadCheck;

/**
 * Finds out whether an answer is whole whose end only that of its connection shows. The answer of a
 * process that ends within it looks the same, so that an answer counts as broken off unless its
 * target is known to have lived on or to have ended as announced, and to have taken the whole
 * request.
 */
final class AnswerEndConfirmation {

    private AnswerEndConfirmation() {}

    /**
     * An answer that has ended.
     *
     * @param requestId identifier of its request
     * @param successful whether it shows that a target can run the request
     * @param connection the connection that it ended with
     */
    record Answer(String requestId, boolean successful, ClientConnection connection) {}

    /**
     * Checks the target of an answer.
     *
     * @param onChecked called once, with whether the answer is whole
     */
    static void await(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            BrokenRequest run,
            Answer answer,
            Consumer<Boolean> onChecked) {
        answer.connection().keepForUploadCheck();
        Instant endedAt = dependencies.clock().instant();
        dependencies
                .crashingContents()
                .onAnswerEndedByClose(
                        selection,
                        run,
                        answer.successful(),
                        finding ->
                                checkUpload(
                                        answer.connection(),
                                        finding,
                                        upload ->
                                                onChecked.accept(
                                                        conclude(
                                                                dependencies,
                                                                selection,
                                                                answer,
                                                                new Evidence(
                                                                        finding, upload,
                                                                        endedAt)))));
    }

    private static void checkUpload(
            ClientConnection connection,
            TargetLossDetector.Finding finding,
            Consumer<UploadCheck.Result> receiver) {
        if (finding.showsWholeAnswer()) {
            connection.checkUpload(receiver);
            return;
        }
        connection.abort();
        receiver.accept(UploadCheck.Result.UNPROVEN);
    }

    /** What is known of the target and of the request's body. */
    private record Evidence(
            TargetLossDetector.Finding finding, UploadCheck.Result upload, Instant endedAt) {

        private boolean showsWholeAnswer() {
            return finding.showsWholeAnswer() && upload == UploadCheck.Result.TAKEN;
        }
    }

    private static boolean conclude(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            Answer answer,
            Evidence evidence) {
        Duration wait = Duration.between(evidence.endedAt(), dependencies.clock().instant());
        String outcome = evidence.showsWholeAnswer() ? "whole" : "broken";
        dependencies.metrics().countCheckedEnd(outcome, wait);
        dependencies
                .log()
                .write(
                        DecisionKind.ANSWER_END_CHECKED,
                        answer.requestId(),
                        () ->
                                "target="
                                        + selection.target().id()
                                        + " evidence="
                                        + evidence.finding()
                                        + " upload="
                                        + evidence.upload()
                                        + " wait="
                                        + wait.toMillis(),
                        outcome);
        return evidence.showsWholeAnswer();
    }
}
