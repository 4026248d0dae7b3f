package org.bergamothoist.core.timeline;

/**
 * A stamp of a hybrid logical clock: it follows the wall clock and never contradicts causal order.
 *
 * @param milliseconds milliseconds since the epoch
 * @param counter orders stamps of the same millisecond
 */
public record Timestamp(long milliseconds, int counter) implements Comparable<Timestamp> {

    @Override
    public int compareTo(Timestamp other) {
        int order = Long.compare(milliseconds, other.milliseconds);
        return order != 0 ? order : Integer.compare(counter, other.counter);
    }
}
