package org.bergamothoist.measure.check;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What one run does. It is drawn from the seed before the run, so that steps can be dropped to find
 * a shorter one.
 *
 * @param seed seed of the fakes and the nodes
 * @param daemons number of daemons
 * @param checkpointDue whether the log begins close to the next checkpoint
 * @param quiet whether the run has no faults other than content that crashes targets, so that all
 *     other requests must be answered
 */
record Plan(long seed, int daemons, boolean checkpointDue, boolean quiet, List<Step> steps) {

    Plan {
        List<Step> sorted = new ArrayList<>(steps);
        sorted.sort(Comparator.comparing(Step::at));
        steps = List.copyOf(sorted);
    }

    Plan with(List<Step> newSteps) {
        return new Plan(seed, daemons, checkpointDue, quiet, newSteps);
    }
}
