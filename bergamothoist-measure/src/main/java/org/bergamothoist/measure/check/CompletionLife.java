package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.StreamHandle;

/** A completion that a caller wants, and the check of what it gets (G2, G4). */
final class CompletionLife extends RequestLife {

    private static final int LEVEL_CHARACTERS = 150;

    private final Step.Completion step;
    private final String prompt;

    CompletionLife(World world, Step.Completion step) {
        super(world, step.program(), step.organisation(), step.behaviour(), step.idempotent());
        this.step = step;
        this.prompt = prompt(step);
    }

    /** Prompts share an instruction across organisations, and a history within each. */
    private static String prompt(Step.Completion step) {
        String instruction = "instruction ".repeat(LEVEL_CHARACTERS).substring(0, LEVEL_CHARACTERS);
        String history =
                ("history " + step.history() + " ")
                        .repeat(LEVEL_CHARACTERS)
                        .substring(0, LEVEL_CHARACTERS);
        return instruction + history + "question " + step.question() + " " + step.marker();
    }

    Step.Completion step() {
        return step;
    }

    private CompletionSubmission submission() {
        return new CompletionSubmission(
                World.key(organisation()),
                Optional.of(id()),
                World.MODEL,
                ModelKey.NO_ADAPTER,
                Optional.empty(),
                new Prompt(prompt),
                step.maximumTokens(),
                5,
                deadline(),
                idempotent());
    }

    @Override
    OpenSending newSending(DaemonHost host) {
        return new Stream(host, null);
    }

    @Override
    void lost(OpenSending sending) {
        Stream stream = (Stream) sending;
        if (stream.token == null) {
            super.lost(sending);
            return;
        }
        world().log().count("resumes");
        world().time()
                .schedule(
                        Duration.ofMillis(50), () -> connect(1, host -> new Stream(host, stream)));
    }

    /** One stream of events from one daemon. */
    private final class Stream extends OpenSending implements CompletionListener {

        private final Stream resumed;
        private final StringBuilder text = new StringBuilder();
        private ModelKey key;
        private String token;
        private int next;

        Stream(DaemonHost host, Stream resumed) {
            super(CompletionLife.this, host);
            this.resumed = resumed;
            if (resumed != null) {
                key = resumed.key;
                token = resumed.token;
                next = resumed.next;
                text.append(resumed.text);
            }
        }

        @Override
        StreamHandle submit(DaemonHost target) {
            if (resumed == null) {
                return target.node().complete(submission(), this);
            }
            return target.node()
                    .resume(
                            new ResumeSubmission(
                                    submission(), token, next, Optional.of(text.toString())),
                            this);
        }

        @Override
        public void onStart(RequestId id, ModelKey modelKey, String resumeToken, int nextPiece) {
            checkOpen(id);
            check(
                    Property.CACHE_ISOLATION,
                    key == null || key.equals(modelKey),
                    "goes on under " + modelKey + " after " + key);
            check(
                    Property.STREAM_ORDER,
                    nextPiece == next,
                    "starts at piece " + nextPiece + " instead of " + next);
            key = modelKey;
            token = resumeToken;
        }

        @Override
        public void onPiece(int index, String piece, int tokens) {
            checkOpen(id());
            check(
                    Property.STREAM_ORDER,
                    index == next,
                    "got piece " + index + " instead of " + next);
            check(
                    Property.ANSWER_OWNERSHIP,
                    key != null && piece.equals(AnswerText.piece(prompt, key, index)),
                    "got the text " + piece + " as piece " + index);
            next = index + 1;
            text.append(piece);
            tookPart();
        }

        @Override
        public void onOutcome(RequestId id, Outcome outcome) {
            if (outcome instanceof Outcome.Answered) {
                check(
                        Property.STREAM_ORDER,
                        key != null && next == AnswerText.length(prompt, key, step.maximumTokens()),
                        "was answered with " + next + " pieces only");
            }
            check(
                    Property.NOT_RUN_TRUTH,
                    resumed == null || !(outcome instanceof Outcome.NotRun),
                    "was refused as not run, though it resumes a stream");
            outcome(id, outcome);
        }

        private void check(Property property, boolean holds, String detail) {
            world().log().check(property, holds, this + " " + detail);
        }
    }
}
