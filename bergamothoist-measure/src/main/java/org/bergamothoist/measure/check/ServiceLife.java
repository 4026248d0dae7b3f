package org.bergamothoist.measure.check;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;

/** A call of a plain service, and the check of its answer (G2, G4). */
final class ServiceLife extends RequestLife {

    private static final String MARKED_PATH = "/book";

    private final Step.ServiceCall step;

    ServiceLife(World world, Step.ServiceCall step) {
        super(
                world,
                step.program(),
                step.organisation(),
                step.behaviour(),
                step.idempotent() && !step.path().startsWith(MARKED_PATH));
        this.step = step;
    }

    @Override
    OpenSending newSending(DaemonHost host) {
        return new Answer(host);
    }

    private final class Answer extends OpenSending implements ServiceResponseListener {

        private int parts;

        Answer(DaemonHost host) {
            super(ServiceLife.this, host);
        }

        @Override
        StreamHandle submit(DaemonHost target) {
            return target.node()
                    .callService(
                            new ServiceSubmission(
                                    World.key(organisation()),
                                    Optional.of(id()),
                                    World.SERVICE,
                                    step.method(),
                                    step.path(),
                                    Map.of(
                                            ServiceAccess.ORGANISATION,
                                            List.of(organisation().value())),
                                    new byte[0],
                                    5,
                                    deadline(),
                                    step.idempotent()),
                            this);
        }

        @Override
        public void onHead(RequestId id, int status, Map<String, List<String>> headers) {
            checkOpen(id);
        }

        @Override
        public void onBody(ByteBuffer part) {
            checkOpen(id());
            String text = StandardCharsets.UTF_8.decode(part).toString();
            String expected = FakeService.part(id().toString(), step.path(), parts++);
            world().log()
                    .check(
                            Property.ANSWER_OWNERSHIP,
                            text.equals(expected),
                            this + " got " + text + " instead of " + expected);
            tookPart();
        }

        @Override
        public void onOutcome(RequestId id, Outcome outcome) {
            if (outcome instanceof Outcome.Answered) {
                world().log()
                        .check(
                                Property.STREAM_ORDER,
                                parts == FakeService.PARTS,
                                this + " was answered with " + parts + " parts only");
            }
            outcome(id, outcome);
        }
    }
}
