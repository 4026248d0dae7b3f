package org.bergamothoist.gateway.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.BrokenRequest;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.quarantine.SuspectRuns;
import org.bergamothoist.core.quarantine.TargetLossDetector;

/**
 * Keeps requests whose content crashes targets from being sent, and suspect ones apart. Confined to
 * the event loop.
 *
 * <p>Fingerprints are passed as suppliers, since they are computed only while losses are known or
 * being checked.
 */
public final class CrashingContentGuard {

    private static final int UNAVAILABLE = 503;

    private final GossipQuarantine quarantine;
    private final TargetLossDetector losses;
    private final SuspectRuns runs = new SuspectRuns();

    /** Contents whose connections broke at targets that are being checked, with their number. */
    private final Map<Fingerprint, Integer> unchecked = new HashMap<>();

    /** Creates a guard. */
    public CrashingContentGuard(GossipQuarantine quarantine, TargetLossDetector losses) {
        this.quarantine = quarantine;
        this.losses = losses;
    }

    /**
     * The targets to which a request is not sent because of the contents that they run.
     *
     * @param required whether the request is refused rather than sent to one of them
     * @param none whether no target may run the content now
     */
    record Separation(Set<String> targets, boolean required, boolean none) {

        private static final Separation NONE = new Separation(Set.of(), false, false);
    }

    /** Returns the response to a request whose content is refused, or empty if it is not. */
    Optional<ErrorResponse> refusal(Supplier<RequestKeys> keys) {
        return isRefused(keys) ? Optional.of(refusal(keys.get().content())) : Optional.empty();
    }

    private ErrorResponse refusal(Fingerprint content) {
        return new ErrorResponse(
                UNAVAILABLE,
                ErrorCode.REQUEST_QUARANTINED,
                "targets were lost while running requests with this content; fingerprint "
                        + content,
                Optional.of(quarantine.timeLeft(content)));
    }

    /** Returns whether requests with the content are refused. */
    boolean isRefused(Supplier<RequestKeys> keys) {
        return quarantine.isActive() && quarantine.isQuarantined(keys.get().content());
    }

    private boolean maySuspect() {
        return quarantine.isActive() || !unchecked.isEmpty();
    }

    private boolean isSuspect(Fingerprint content) {
        return quarantine.isSuspect(content) || unchecked.containsKey(content);
    }

    /**
     * Returns where a request must or should not be sent. A content that one more loss would
     * quarantine runs alone among suspects and once at a time, so that it is not quarantined for
     * another's crash.
     */
    Separation separation(Supplier<RequestKeys> keys) {
        if (!maySuspect()) {
            return Separation.NONE;
        }
        Fingerprint fingerprint = keys.get().content();
        if (quarantine.isOneLossFromQuarantine(fingerprint)) {
            return new Separation(runs.targets(), true, runs.isRunning(fingerprint));
        }
        return isSuspect(fingerprint)
                ? new Separation(runs.targets(), false, false)
                : new Separation(
                        runs.targetsRunning(quarantine::isOneLossFromQuarantine), false, false);
    }

    /**
     * Records that a target starts to run a request; returns the content to pass to {@link
     * #onEnded} if it is suspect.
     */
    Optional<Fingerprint> onStarted(String target, Supplier<RequestKeys> keys) {
        if (!maySuspect() || !isSuspect(keys.get().content())) {
            return Optional.empty();
        }
        runs.begin(target, keys.get().content());
        return Optional.of(keys.get().content());
    }

    /** Records that a target no longer runs a suspect content. */
    void onEnded(String target, Fingerprint content) {
        runs.end(target, content);
    }

    /** Records that a target has completed a request. */
    void onCompleted(Supplier<RequestKeys> keys) {
        if (quarantine.isActive()) {
            quarantine.onCompleted(keys.get().content());
        }
    }

    /**
     * Handles a connection that the target of an attempt broke off. A suspect request goes on once
     * the target was checked, so that it is not sent again while its last loss is not counted. Any
     * other goes on at once, apart from those that ran beside it: one of them may have ended the
     * target.
     */
    void onConnectionBroken(
            TargetSelector.Selection selection, BrokenRequest request, Runnable goOn) {
        boolean suspect = quarantine.isSuspect(request.keys().content());
        unchecked.merge(request.keys().content(), 1, Integer::sum);
        losses.onConnectionBroken(
                selection.target(),
                request,
                finding -> {
                    unchecked.computeIfPresent(
                            request.keys().content(),
                            (content, count) -> count == 1 ? null : count - 1);
                    if (suspect) {
                        goOn.run();
                    }
                });
        if (!suspect) {
            goOn.run();
        }
    }

    /**
     * Handles an answer that ended with its connection. It shows that the content is harmless only
     * if the target goes on.
     */
    void onAnswerEndedByClose(TargetSelector.Selection selection, BrokenRequest request) {
        losses.onAnswerEndedByClose(
                selection.target(),
                request,
                finding -> {
                    if (finding == TargetLossDetector.Finding.LISTENING) {
                        onCompleted(request::keys);
                    }
                });
    }
}
