package org.bergamothoist.gateway;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Measures the share of its VM's processor capacity that this process uses. Confined to the event
 * loop.
 */
final class ProcessorMeter {

    /** Period over which the utilisation is averaged: a few reports between daemons. */
    private static final Duration WINDOW = Duration.ofSeconds(1);

    /** Time after the start whose use is not counted: loading classes takes the whole processor. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(5);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final double capacity;
    private final LongSupplier processorNanoseconds;
    private final InstantSource clock;
    private final Instant countedFrom;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(Instant at, long nanoseconds) {}

    /**
     * Creates a meter.
     *
     * @param capacity processor capacity of the VM, in cores
     * @param processorNanoseconds processor time that the process has used since its start
     */
    ProcessorMeter(double capacity, LongSupplier processorNanoseconds, InstantSource clock) {
        this.capacity = capacity;
        this.processorNanoseconds = processorNanoseconds;
        this.clock = clock;
        this.countedFrom = clock.instant().plus(STARTUP_PERIOD);
    }

    /** Returns a source of the processor time of this process. */
    static LongSupplier ofThisProcess() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class)::getProcessCpuTime;
    }

    /** Takes a sample; called several times a second. */
    void sample() {
        Instant now = clock.instant();
        if (now.isBefore(countedFrom)) {
            return;
        }
        samples.addLast(new Sample(now, processorNanoseconds.getAsLong()));
        while (samples.size() > 2 && samples.getFirst().at().plus(WINDOW).isBefore(now)) {
            samples.removeFirst();
        }
    }

    /** Returns the used share of the capacity, from 0 to 1; 0 while nothing was measured. */
    double utilisation() {
        if (samples.size() < 2) {
            return 0;
        }
        Sample first = samples.getFirst();
        Sample last = samples.getLast();
        double seconds = Duration.between(first.at(), last.at()).toNanos() / NANOSECONDS_PER_SECOND;
        double used = (last.nanoseconds() - first.nanoseconds()) / NANOSECONDS_PER_SECOND;
        return seconds <= 0 ? 0 : Math.min(1, Math.max(0, used / (seconds * capacity)));
    }
}
