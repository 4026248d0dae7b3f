package org.bergamothoist.core.gossip;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The processor capacity that callers' requests need, from the utilisation that the daemons report
 * that take them. Confined to the control thread.
 *
 * <p>Grows at once with the load and falls only after the retention period, so that daemons do not
 * start and stop taking requests with each wave of the load.
 */
public final class CallerDemand {

    /** Utilisation up to which requests rarely wait for the processor. */
    private static final double TARGET_UTILISATION = 0.5;

    /** Time for which a peak of the load counts. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final InstantSource clock;
    private final Deque<Peak> peaks = new ArrayDeque<>();

    private record Peak(Instant at, double requiredCapacity) {}

    /** Creates a demand of which nothing is known yet. */
    public CallerDemand(InstantSource clock) {
        this.clock = clock;
    }

    /**
     * Updates the demand and returns it in cores; empty while less than half of the daemons have
     * measured their utilisation.
     *
     * @param taking the daemons that take requests
     */
    public OptionalDouble update(List<CallerAssignment.Candidate> taking) {
        List<CallerAssignment.Candidate> measured =
                taking.stream().filter(CallerAssignment.Candidate::isMeasured).toList();
        Instant now = clock.instant();
        peaks.removeIf(peak -> peak.at().plus(RETENTION).isBefore(now));
        if (!measured.isEmpty() && measured.size() * 2 >= taking.size()) {
            add(new Peak(now, requiredCapacity(taking, measured)));
        }
        return peaks.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(peaks.getFirst().requiredCapacity());
    }

    /** Keeps peaks in falling order, so that the first one is the highest. */
    private void add(Peak peak) {
        while (!peaks.isEmpty() && peaks.getLast().requiredCapacity() <= peak.requiredCapacity()) {
            peaks.removeLast();
        }
        peaks.addLast(peak);
    }

    /** Daemons without a measurement, which have just started, count as used like the others. */
    private static double requiredCapacity(
            List<CallerAssignment.Candidate> taking, List<CallerAssignment.Candidate> measured) {
        double used =
                measured.stream().mapToDouble(one -> one.utilisation() * one.capacity()).sum();
        double measuredCapacity =
                measured.stream().mapToDouble(CallerAssignment.Candidate::capacity).sum();
        double capacity = taking.stream().mapToDouble(CallerAssignment.Candidate::capacity).sum();
        return used / measuredCapacity * capacity / TARGET_UTILISATION;
    }
}
