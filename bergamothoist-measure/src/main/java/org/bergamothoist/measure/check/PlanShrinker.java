package org.bergamothoist.measure.check;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Drops steps from a plan as long as the rest still breaks the property. */
final class PlanShrinker {

    /** Most runs spent on one violation. */
    private static final int MAXIMUM_RUNS = 120;

    private final Property property;
    private final Supplier<Interposition> interpositions;
    private Plan plan;
    private Violation violation;
    private int runs;

    private PlanShrinker(Plan plan, Violation violation, Supplier<Interposition> interpositions) {
        this.plan = plan;
        this.violation = violation;
        this.property = violation.property();
        this.interpositions = interpositions;
    }

    /** Returns the violation with the trace of the shortest plan found. */
    static Violation shrink(
            Plan plan, Violation violation, Supplier<Interposition> interpositions) {
        PlanShrinker shrinker = new PlanShrinker(plan, violation, interpositions);
        shrinker.shrink();
        return shrinker.result();
    }

    private void shrink() {
        int size = Math.max(1, plan.steps().size() / 2);
        while (size >= 1 && runs < MAXIMUM_RUNS) {
            boolean dropped = dropParts(size);
            if (!dropped || size > plan.steps().size()) {
                size = size / 2;
            }
        }
    }

    private boolean dropParts(int size) {
        boolean dropped = false;
        int from = 0;
        while (from < plan.steps().size() && runs < MAXIMUM_RUNS) {
            if (tryWithout(from, Math.min(plan.steps().size(), from + size))) {
                dropped = true;
            } else {
                from += size;
            }
        }
        return dropped;
    }

    private boolean tryWithout(int from, int to) {
        List<Step> rest = new ArrayList<>(plan.steps());
        rest.subList(from, to).clear();
        Plan shorter = plan.with(rest);
        runs++;
        for (Violation found : World.run(shorter, interpositions.get()).violations()) {
            if (found.property() == property) {
                plan = shorter;
                violation = found;
                return true;
            }
        }
        return false;
    }

    private Violation result() {
        List<String> trace = new ArrayList<>();
        plan.steps().forEach(step -> trace.add("step " + step));
        trace.addAll(violation.trace());
        return new Violation(property, violation.seed(), violation.at(), violation.detail(), trace);
    }
}
