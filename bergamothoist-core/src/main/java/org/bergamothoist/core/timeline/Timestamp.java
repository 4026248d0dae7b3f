package org.bergamothoist.core.timeline;

/**
 * A timestamp of a hybrid logical clock, close to wall-clock time and consistent with causal order.
 *
 * @param milliseconds milliseconds since the epoch
 * @param counter orders timestamps of the same millisecond
 */
public record Timestamp(long milliseconds, int counter) implements Comparable<Timestamp> {

    @Override
    public int compareTo(Timestamp other) {
        int order = Long.compare(milliseconds, other.milliseconds);
        return order != 0 ? order : Integer.compare(counter, other.counter);
    }
}
