package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.util.OptionalDouble;
import org.bergamothoist.core.time.RecentDurations;

/** What a daemon has learned of a service's requests. Confined to the control thread. */
final class ServiceProfile {

    /** Number of requests over which sizes and times are averaged. */
    private static final int WINDOW = 64;

    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final RecentDurations slotTimes = new RecentDurations(WINDOW);
    private double prefillMilliseconds;
    private double bytes;
    private int sent;
    private int answered;

    void recordSlotTime(Duration time) {
        slotTimes.add(time);
    }

    void recordPrefill(double milliseconds) {
        sent = Math.min(WINDOW, sent + 1);
        prefillMilliseconds += (milliseconds - prefillMilliseconds) / sent;
    }

    void recordBytes(long requestAndAnswer) {
        answered = Math.min(WINDOW, answered + 1);
        bytes += (requestAndAnswer - bytes) / answered;
    }

    /** Returns the usual time in a slot, or empty while no request has ended. */
    OptionalDouble slotMilliseconds() {
        return slotTimes
                .median()
                .filter(time -> time.compareTo(Duration.ZERO) > 0)
                .map(time -> OptionalDouble.of(time.toNanos() / NANOSECONDS_PER_MILLISECOND))
                .orElseGet(OptionalDouble::empty);
    }

    /** Returns the mean prefill time of a request; 0 for plain services. */
    double prefillMilliseconds() {
        return prefillMilliseconds;
    }

    /** Returns the mean number of bytes of a request and its answer. */
    double bytes() {
        return bytes;
    }
}
