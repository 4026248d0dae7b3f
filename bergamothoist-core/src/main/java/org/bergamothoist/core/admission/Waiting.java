package org.bergamothoist.core.admission;

import org.bergamothoist.core.limit.FairQueue;

/** A submitted request with its state. */
final class Waiting implements FairQueue.Entry<String>, AdmissionTicket {

    private final AdmissionQueue admission;
    private final WaitRequest request;
    private final WaitHandler handler;
    private State state = State.SENDING;

    Waiting(AdmissionQueue admission, WaitRequest request, WaitHandler handler) {
        this.admission = admission;
        this.request = request;
        this.handler = handler;
    }

    /** Life cycle of a request; the last state is final. */
    enum State {
        QUEUED,
        SENDING,
        SENT,
        CLOSED
    }

    WaitRequest request() {
        return request;
    }

    WaitHandler handler() {
        return handler;
    }

    State state() {
        return state;
    }

    void state(State next) {
        state = next;
    }

    @Override
    public String organisation() {
        return request.organisation();
    }

    @Override
    public int priority() {
        return request.priority();
    }

    @Override
    public long cost() {
        return request.cost();
    }

    @Override
    public boolean isWaiting() {
        return state == State.QUEUED;
    }

    @Override
    public void leave() {
        admission.leave(this);
    }
}
