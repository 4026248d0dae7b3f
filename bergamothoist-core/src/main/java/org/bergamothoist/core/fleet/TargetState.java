package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalInt;

/**
 * What this daemon believes about one incarnation of a target. Confined to the control thread.
 *
 * <p>The version of an engine's weights is known from its registration, its answers and other
 * daemons; versions of one incarnation normally rise, so the highest one counts until an answer
 * shows another.
 */
public final class TargetState {

    /** Time for which a refused or mismatched target is left to finish a change of weights. */
    private static final Duration WEIGHT_CHANGE_PAUSE = Duration.ofMillis(400);

    private final TargetIncarnation incarnation;
    private final TargetHealth health = new TargetHealth();
    private final TargetLoad load = new TargetLoad();
    private OptionalInt weightVersion = OptionalInt.empty();
    private Instant changingWeightsUntil = Instant.EPOCH;
    private Instant refusingUntil = Instant.EPOCH;
    private Instant heardAt = Instant.EPOCH;

    /** Creates the state of a target that nothing is known about. */
    public TargetState(TargetIncarnation incarnation) {
        this.incarnation = incarnation;
    }

    public TargetIncarnation incarnation() {
        return incarnation;
    }

    public TargetHealth health() {
        return health;
    }

    public TargetLoad load() {
        return load;
    }

    public OptionalInt weightVersion() {
        return weightVersion;
    }

    /** Notes the version that the target itself reported. */
    public void observeWeightVersion(int version) {
        weightVersion = OptionalInt.of(version);
    }

    /** Notes that the target's version is not the known one. */
    public void doubtWeightVersion() {
        weightVersion = OptionalInt.empty();
    }

    /** Notes a version that was heard of; an older one than the known one is ignored. */
    public void hearWeightVersion(int version) {
        if (weightVersion.isEmpty() || version > weightVersion.getAsInt()) {
            weightVersion = OptionalInt.of(version);
        }
    }

    /** Notes that the target loads weights until about the instant. */
    public void changingWeightsUntil(Instant until) {
        changingWeightsUntil = until;
    }

    /** Notes that the target refused a request without running it. */
    public void refused(Instant now) {
        refusingUntil = now.plus(WEIGHT_CHANGE_PAUSE);
    }

    /** Notes bytes of an answer from the target. */
    public void heard(Instant now) {
        heardAt = now;
    }

    /** Returns whether the target sent anything to this daemon after an instant. */
    public boolean isHeardSince(Instant instant) {
        return heardAt.isAfter(instant);
    }

    /** Returns whether the target is expected to run a request soon. */
    public boolean isAccepting(Instant now) {
        return health.isUsable(now)
                && !now.isBefore(changingWeightsUntil)
                && !now.isBefore(refusingUntil);
    }

    /** Returns whether the target is loading weights. */
    public boolean isChangingWeights(Instant now) {
        return now.isBefore(changingWeightsUntil);
    }
}
