package org.bergamothoist.core.limit;

import java.time.Instant;
import org.bergamothoist.core.identity.OrganisationId;

/** A submitted request with its state. It is also the ticket returned to the submitter. */
final class QueuedRequest implements AdmissionTicket, FairQueue.Entry<OrganisationId> {

    private final AdmissionController controller;
    private final AdmissionRequest request;
    private final AdmissionHandler handler;
    private final Instant submittedAt;
    private State state = State.QUEUED;

    QueuedRequest(
            AdmissionController controller,
            AdmissionRequest request,
            AdmissionHandler handler,
            Instant submittedAt) {
        this.controller = controller;
        this.request = request;
        this.handler = handler;
        this.submittedAt = submittedAt;
    }

    AdmissionRequest request() {
        return request;
    }

    @Override
    public OrganisationId organisation() {
        return request.organisation();
    }

    @Override
    public int priority() {
        return request.priority();
    }

    @Override
    public long cost() {
        return request.estimatedTokens();
    }

    AdmissionHandler handler() {
        return handler;
    }

    Instant submittedAt() {
        return submittedAt;
    }

    State state() {
        return state;
    }

    void state(State next) {
        state = next;
    }

    @Override
    public void close() {
        controller.close(this);
    }

    /** Life cycle of a request; the last state is final. */
    enum State {
        QUEUED,
        DISPATCHING,
        RUNNING,
        CLOSED
    }
}
