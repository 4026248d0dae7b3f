package org.bergamothoist.measure.check;

/** Follows randomised runs. */
@FunctionalInterface
public interface ProgressListener {

    /**
     * Reports that a run has ended.
     *
     * @param completed number of runs that have ended
     * @param violations violations found so far
     */
    void onRun(int completed, int violations);
}
