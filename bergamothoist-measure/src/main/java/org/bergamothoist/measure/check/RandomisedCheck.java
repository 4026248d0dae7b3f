package org.bergamothoist.measure.check;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Runs the decision code of several daemons under random faults and checks the guarantees. */
public final class RandomisedCheck {

    private static final Interposition NONE = new Interposition() {};
    private static final long DIGEST_FACTOR = 0x9e3779b97f4a7c15L;

    private RandomisedCheck() {}

    /**
     * Executes runs and returns what they found. The same arguments give the same report.
     *
     * @param seed seed of the first run; each further run has the next seed
     */
    public static CheckReport run(long seed, int runs, ProgressListener listener) {
        return run(seed, runs, () -> NONE, listener);
    }

    /**
     * Executes runs with a deliberate fault at the nodes' interfaces.
     *
     * @param interpositions creates the fault anew for each run
     */
    public static CheckReport run(
            long seed,
            int runs,
            Supplier<Interposition> interpositions,
            ProgressListener listener) {
        return run(seed, runs, interpositions, listener, true);
    }

    /** Executes one run and gives violations the trace of the run itself, not of a shorter one. */
    static CheckReport runOnce(long seed, Supplier<Interposition> interpositions) {
        return run(seed, 1, interpositions, (completed, violations) -> {}, false);
    }

    private static CheckReport run(
            long seed,
            int runs,
            Supplier<Interposition> interpositions,
            ProgressListener listener,
            boolean shrinks) {
        SortedMap<String, Long> counts = new TreeMap<>();
        List<Violation> violations = new ArrayList<>();
        long steps = 0;
        long digest = 0;
        for (int run = 0; run < runs; run++) {
            Plan plan = PlanGenerator.generate(seed + run);
            RunLog log = World.run(plan, interpositions.get());
            log.counts().forEach((name, count) -> counts.merge(name, count, Long::sum));
            steps += log.steps();
            digest = digest * DIGEST_FACTOR + log.digest();
            for (Violation violation : log.violations()) {
                violations.add(
                        shrinks ? PlanShrinker.shrink(plan, violation, interpositions) : violation);
            }
            listener.onRun(run + 1, violations.size());
        }
        return new CheckReport(seed, runs, steps, violations, counts, Long.toHexString(digest));
    }
}
