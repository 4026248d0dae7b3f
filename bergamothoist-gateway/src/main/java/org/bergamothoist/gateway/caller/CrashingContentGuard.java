package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.BrokenRequest;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.PartProbes;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.quarantine.SuspectRuns;
import org.bergamothoist.core.quarantine.TargetLossDetector;

/**
 * Keeps requests whose content or prompt crashes targets from being sent, and suspect ones apart.
 * Confined to the event loop.
 *
 * <p>Keys are passed as suppliers, since they are computed only while losses are known or being
 * checked.
 */
public final class CrashingContentGuard {

    private static final int UNAVAILABLE = 503;

    private final GossipQuarantine quarantine;
    private final PartProbes probes;
    private final TargetLossDetector losses;
    private final SuspectRuns runs = new SuspectRuns();

    /** Contents whose connections broke at targets that are being checked, with their number. */
    private final Map<Fingerprint, Integer> unchecked = new HashMap<>();

    /** Creates a guard. */
    public CrashingContentGuard(
            GossipQuarantine quarantine, PartProbes probes, TargetLossDetector losses) {
        this.quarantine = quarantine;
        this.probes = probes;
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

    /** Returns the response to a request that is refused, or empty if it is not. */
    Optional<ErrorResponse> refusal(Supplier<RequestKeys> keys) {
        Set<Fingerprint> refusedFor = refusedFor(keys);
        return refusedFor.isEmpty() || probes.tryBegin(keys.get(), refusedFor)
                ? Optional.empty()
                : Optional.of(refusal(refusedFor));
    }

    private ErrorResponse refusal(Set<Fingerprint> refusedFor) {
        boolean part = refusedFor.stream().anyMatch(Fingerprint::isPart);
        Duration timeLeft =
                refusedFor.stream()
                        .map(quarantine::timeLeft)
                        .min(Comparator.naturalOrder())
                        .orElse(Duration.ZERO);
        return new ErrorResponse(
                UNAVAILABLE,
                ErrorCode.REQUEST_QUARANTINED,
                "targets were lost while running requests with this "
                        + (part ? "part of the prompt; fingerprint " : "content; fingerprint ")
                        + refusedFor.stream()
                                .sorted()
                                .map(Fingerprint::hexadecimal)
                                .collect(Collectors.joining(", ")),
                Optional.of(timeLeft));
    }

    private Set<Fingerprint> refusedFor(Supplier<RequestKeys> keys) {
        return quarantine.isActive() ? quarantine.refusedFor(keys.get()) : Set.of();
    }

    /** Returns whether the request is refused for its content or a part of its prompt. */
    boolean isRefused(Supplier<RequestKeys> keys) {
        return !refusedFor(keys).isEmpty();
    }

    private boolean maySuspect() {
        return quarantine.isActive() || !unchecked.isEmpty();
    }

    private boolean isSuspect(Fingerprint content) {
        return quarantine.isSuspect(content) || unchecked.containsKey(content);
    }

    /**
     * Returns where a request must or should not be sent. What one more loss would quarantine runs
     * alone among suspects and once at a time, so that it is not quarantined for another's crash.
     */
    Separation separation(Supplier<RequestKeys> keys) {
        if (!maySuspect()) {
            return Separation.NONE;
        }
        List<Fingerprint> isolated = quarantine.oneLossFromQuarantine(keys.get());
        if (!isolated.isEmpty()) {
            return new Separation(
                    runs.targetsRunning(this::isSuspect),
                    true,
                    isolated.stream().anyMatch(runs::isRunning));
        }
        return isSuspect(keys.get().content())
                ? new Separation(runs.targetsRunning(this::isSuspect), false, false)
                : new Separation(
                        runs.targetsRunning(quarantine::isOneLossFromQuarantine), false, false);
    }

    /**
     * Records that a target starts to run a request; returns the keys to pass to {@link #onEnded},
     * those that are suspect.
     */
    List<Fingerprint> onStarted(String target, Supplier<RequestKeys> keys) {
        if (!maySuspect()) {
            return List.of();
        }
        List<Fingerprint> suspects = keys.get().all().stream().filter(this::isSuspect).toList();
        suspects.forEach(key -> runs.begin(target, key));
        return suspects;
    }

    /** Records that a target no longer runs a request with suspect keys. */
    void onEnded(String target, List<Fingerprint> suspects) {
        suspects.forEach(key -> runs.end(target, key));
    }

    /**
     * Records that a target has answered a request, and goes on running.
     *
     * @param parts the parts of its prompt, which are recorded also while no losses are known
     */
    void onCompleted(Supplier<RequestKeys> keys, Set<Fingerprint> parts) {
        quarantine.onAnswered(parts);
        if (quarantine.isActive()) {
            quarantine.onCompleted(keys.get());
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
        boolean suspect = request.keys().all().stream().anyMatch(quarantine::isSuspect);
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
     *
     * @param onChecked called once it is known, or cannot be found out, whether the target ended
     */
    void onAnswerEndedByClose(
            TargetSelector.Selection selection,
            BrokenRequest request,
            boolean successful,
            Consumer<TargetLossDetector.Finding> onChecked) {
        losses.onAnswerEndedByClose(
                selection.target(),
                request,
                finding -> {
                    if (successful && finding == TargetLossDetector.Finding.ALIVE) {
                        onCompleted(request::keys, request.keys().parts());
                    }
                    onChecked.accept(finding);
                });
    }
}
