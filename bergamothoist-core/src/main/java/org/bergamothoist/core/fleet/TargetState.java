package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * What this daemon has observed of one incarnation of a target. Confined to the control thread.
 *
 * <p>The version of an engine's weights is known from its registration, its responses and other
 * daemons' reports. Versions of one incarnation normally increase, so the highest reported version
 * is assumed until a response shows another one.
 */
public final class TargetState {

    /**
     * Time for which a target that refused a request gets no requests, so that it can finish a
     * change of weights.
     */
    private static final Duration REFUSAL_PAUSE = Duration.ofMillis(400);

    private final TargetIncarnation incarnation;
    private final TargetHealth health = new TargetHealth();
    private final OutstandingWork load = new OutstandingWork();
    private OptionalInt weightVersion = OptionalInt.empty();
    private Instant changingWeightsUntil = Instant.EPOCH;
    private final Map<String, Instant> reportedChangesUntil = new HashMap<>();
    private Instant pausedUntil = Instant.EPOCH;
    private Instant lastReceivedAt = Instant.EPOCH;

    /** Creates the state of a target of which nothing is known yet. */
    public TargetState(TargetIncarnation incarnation) {
        this.incarnation = incarnation;
    }

    public TargetIncarnation incarnation() {
        return incarnation;
    }

    public TargetHealth health() {
        return health;
    }

    public OutstandingWork load() {
        return load;
    }

    /** Returns the version of the weights, or empty if it is not known. */
    public OptionalInt weightVersion() {
        return weightVersion;
    }

    /** Sets the version that the target itself reported. */
    public void observeWeightVersion(int version) {
        weightVersion = OptionalInt.of(version);
    }

    /** Discards the known version because the target evidently has another one. */
    public void discardWeightVersion() {
        weightVersion = OptionalInt.empty();
    }

    /**
     * Applies a version that was reported indirectly; ignored if it is older than the known one.
     */
    public void raiseWeightVersion(int version) {
        if (weightVersion.isEmpty() || version > weightVersion.getAsInt()) {
            weightVersion = OptionalInt.of(version);
        }
    }

    /** Records that this daemon expects the target to load weights by its orders until then. */
    public void setChangingWeightsUntil(Instant until) {
        changingWeightsUntil = until;
    }

    /**
     * Records that another daemon expects the target to load weights by its orders until then.
     * Replaces what the same daemon reported before.
     */
    public void setReportedChangeUntil(String daemon, Instant until) {
        reportedChangesUntil.put(daemon, until);
    }

    /** Records that the target refused a request without running it. */
    public void recordRefusal(Instant now) {
        pausedUntil = now.plus(REFUSAL_PAUSE);
    }

    /** Records that bytes of a response arrived from the target. */
    public void recordBytesReceived(Instant now) {
        lastReceivedAt = now;
    }

    /** Returns whether the target has sent anything to this daemon after the instant. */
    public boolean hasReceivedBytesSince(Instant instant) {
        return lastReceivedAt.isAfter(instant);
    }

    /**
     * Returns whether the target is expected to run a request without delay: it is not ejected,
     * loads no weights and has not refused a request just now.
     */
    public boolean isAccepting(Instant now) {
        return health.isUsable(now) && !isChangingWeights(now) && !now.isBefore(pausedUntil);
    }

    /** Returns whether the target is presumably loading weights. */
    public boolean isChangingWeights(Instant now) {
        return isChangingWeightsByOwnOrder(now)
                || reportedChangesUntil.values().stream().anyMatch(now::isBefore);
    }

    /** Returns whether the target is presumably loading weights by an order of this daemon. */
    public boolean isChangingWeightsByOwnOrder(Instant now) {
        return now.isBefore(changingWeightsUntil);
    }
}
