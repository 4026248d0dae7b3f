package org.bergamothoist.core.quarantine;

/**
 * The unplanned end of one run of a target's process.
 *
 * @param target identifier of the target
 * @param incarnation which of its runs ended
 */
public record TargetLoss(String target, String incarnation) {

    @Override
    public String toString() {
        return target + "@" + incarnation;
    }
}
