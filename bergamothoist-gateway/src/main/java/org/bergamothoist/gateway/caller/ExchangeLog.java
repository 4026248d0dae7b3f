package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.relay.RetryPolicy;

/** Writes the decisions on one request to the log. */
final class ExchangeLog {

    private final DecisionLog log;
    private final RequestContext request;
    private final InstantSource clock;
    private final StopDeadline stopDeadline;

    ExchangeLog(ExchangeDependencies dependencies, RequestContext request) {
        this.log = dependencies.log();
        this.request = request;
        this.clock = dependencies.clock();
        this.stopDeadline = dependencies.stopDeadline();
    }

    void refused(ErrorResponse error) {
        log.write(
                DecisionKind.REQUEST_REFUSED,
                request.head().requestId(),
                () -> error.reason() + describeConfiguration(),
                error.status() + " " + error.code());
    }

    private String describeConfiguration() {
        return request.configuration() == null
                ? ""
                : " configuration=" + request.configuration().version();
    }

    void dispatched(TargetSelector.Selection selection, Duration timeLeft) {
        log.write(
                DecisionKind.REQUEST_DISPATCHED,
                request.head().requestId(),
                () -> describe(selection, timeLeft),
                selection.target().id());
    }

    private String describe(TargetSelector.Selection selection, Duration timeLeft) {
        Instant now = clock.instant();
        return "route="
                + request.route().name()
                + " configuration="
                + request.configuration().version()
                + " weights="
                + selection.state().weightVersion().orElse(0)
                + selection
                        .outdatedSince()
                        .map(since -> " outdated-for=" + Duration.between(since, now).toMillis())
                        .orElse("")
                + " requests="
                + selection.state().load().totalRequests(now)
                + " prefill="
                + selection.prefillTokens()
                + " queueing="
                + selection.queueingDelay().toMillis()
                + (selection.fitsMemory() ? "" : " memory=full")
                + " priority="
                + selection.forwarding().priority()
                + selection.forwarding().fetchFrom().map(from -> " fetch=" + from).orElse("")
                + selection.forwarding().saveTo().map(to -> " save=" + to).orElse("")
                + " left="
                + timeLeft.toMillis();
    }

    /** Writes what is done about a target that has been silent for long. */
    void targetSilent(String target, String outcome) {
        log.write(
                DecisionKind.TARGET_SILENT,
                request.head().requestId(),
                () -> "target=" + target,
                outcome);
    }

    /**
     * Writes the end of the request; while the daemon is stopping, also what decided it, the
     * target, and how much of the grace was left.
     *
     * @param timeToFirstByte null if no response has begun
     */
    void ended(
            String outcome, String detail, RetryPolicy.History history, Duration timeToFirstByte) {
        log.write(
                DecisionKind.REQUEST_ENDED,
                request.head().requestId(),
                () ->
                        detail
                                + " runs="
                                + history.attemptsPossiblyRun()
                                + " unrun="
                                + history.attemptsNotRun()
                                + (timeToFirstByte == null
                                        ? ""
                                        : " first-byte=" + timeToFirstByte.toMillis())
                                + " after="
                                + Duration.between(request.arrivedAt(), clock.instant()).toMillis()
                                + describeStop(request.progress().decision()),
                outcome);
    }

    /** Writes that the caller's connection ended before a complete answer was written to it. */
    void unwritten(Disconnection reason) {
        log.write(
                DecisionKind.ANSWER_UNWRITTEN,
                request.head().requestId(),
                () -> reason.detail() + describeStop(reason.decision()),
                reason.unwrittenOutcome());
    }

    private String describeStop(EndDecision decision) {
        return stopDeadline
                .graceLeft()
                .map(
                        left ->
                                " decided-by="
                                        + decision
                                        + " "
                                        + request.progress().describe(clock.instant())
                                        + " grace-left="
                                        + left.toMillis())
                .orElse("");
    }
}
