package org.bergamothoist.core.limit;

import java.time.Instant;

/** A submitted request with its state. It is also the ticket returned to the submitter. */
final class QueuedRequest implements AdmissionTicket {

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
