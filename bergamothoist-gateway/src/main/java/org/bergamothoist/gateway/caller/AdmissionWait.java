package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bergamothoist.core.admission.AdmissionTicket;
import org.bergamothoist.core.admission.Refusal;
import org.bergamothoist.core.admission.WaitHandler;
import org.bergamothoist.core.decision.DecisionKind;

/**
 * The admission of one request: its wait for a target with room, and what is learned from its
 * response. Confined to the event loop.
 */
final class AdmissionWait implements WaitHandler {

    private static final int UNAVAILABLE = 503;

    private final ExchangeDependencies dependencies;
    private final RequestContext request;
    private final Predicate<Predicate<TargetSelector.Selection>> send;
    private final Consumer<ErrorResponse> refuse;
    private AdmissionTicket ticket;
    private Instant waitingSince;
    private Instant sentAt;
    private boolean queued;
    private boolean ended;
    private String service;

    /**
     * Creates the admission of a request that is not submitted yet.
     *
     * @param send sends the request if the selected target passes the test; returns false if not
     * @param refuse ends the request with an error response
     */
    AdmissionWait(
            ExchangeDependencies dependencies,
            RequestContext request,
            Predicate<Predicate<TargetSelector.Selection>> send,
            Consumer<ErrorResponse> refuse) {
        this.dependencies = dependencies;
        this.request = request;
        this.send = send;
        this.refuse = refuse;
    }

    /** Sends the request, lets it wait if requests may, or refuses it. */
    void submit(String selectedService) {
        service = selectedService;
        if (!dependencies.admission().isQueueing()) {
            send.test(this::admitAtOnce);
            return;
        }
        Instant now = dependencies.clock().instant();
        AdmissionTicket submitted = dependencies.admission().submit(request, selectedService, this);
        ticket = submitted;
        if (ended) {
            submitted.leave();
        } else if (submitted.isWaiting()) {
            waitingSince = now;
            dependencies.metrics().countWaiting(priority());
            log("waits");
        }
    }

    private boolean admitAtOnce(TargetSelector.Selection selection) {
        Optional<Refusal> refusal = dependencies.admission().refusalAtOnce(request, selection);
        refusal.ifPresent(this::refuse);
        return refusal.isEmpty();
    }

    @Override
    public boolean trySend(boolean overtaking) {
        return send.test(
                selection -> dependencies.admission().hasRoom(request, selection, overtaking));
    }

    @Override
    public void refuse(Refusal refusal) {
        endWait("refused");
        dependencies.metrics().countOverloadRefusal(priority());
        refuse.accept(
                new ErrorResponse(
                        UNAVAILABLE,
                        refusal.code(),
                        refusal.reason(),
                        Optional.of(refusal.retryAfter())));
    }

    /** Notes that the request is about to be sent to a target. */
    void onSending(TargetSelector.Selection selection) {
        endWait("sent");
        sentAt = dependencies.clock().instant();
        queued = !dependencies.admission().hasFreeSlot(selection);
    }

    /** Notes that the response is complete. */
    void onAnswered() {
        Duration time = Duration.between(sentAt, dependencies.clock().instant());
        dependencies.admission().recordTime(request, service, time, queued);
    }

    /** Notes that the request has ended, possibly while it waits. */
    void onEnded() {
        ended = true;
        if (ticket != null) {
            ticket.leave();
        }
        endWait("left");
    }

    private void endWait(String outcome) {
        if (waitingSince == null) {
            return;
        }
        Duration waited = Duration.between(waitingSince, dependencies.clock().instant());
        dependencies.metrics().recordWait(priority(), waited);
        log(outcome + " after " + waited.toMillis());
        waitingSince = null;
    }

    private void log(String outcome) {
        dependencies
                .log()
                .write(
                        DecisionKind.REQUEST_WAITING,
                        request.head().requestId(),
                        () -> "service=" + service + " priority=" + priority(),
                        outcome);
    }

    private int priority() {
        return TargetSelector.priority(request);
    }
}
