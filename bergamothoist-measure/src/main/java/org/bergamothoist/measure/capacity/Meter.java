package org.bergamothoist.measure.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/** Measures retained heap, time and allocation of code in this process. */
final class Meter {

    private static final int COLLECTIONS = 3;
    private static final int WARM_UP_ROUNDS = 3;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final List<Slope> slopes = new ArrayList<>();

    List<Slope> slopes() {
        return List.copyOf(slopes);
    }

    /** Adds the heap that the built object retains, divided by the number of parts. */
    void heap(String quantity, String size, int parts, Supplier<?> builder) {
        long before = usedHeap();
        Object built = builder.get();
        long after = usedHeap();
        add(quantity, size, (double) (after - before) / parts, "bytes");
        if (built.hashCode() == Integer.MIN_VALUE) {
            throw new IllegalStateException("keeps the object reachable until here");
        }
    }

    private static long usedHeap() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Adds processor time and allocation of one operation; the argument counts the operations. */
    void time(String quantity, String size, int operations, IntConsumer operation) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            run(operations, operation);
        }
        long thread = Thread.currentThread().getId();
        long allocatedBefore = threads.getThreadAllocatedBytes(thread);
        long timeBefore = threads.getCurrentThreadCpuTime();
        run(operations, operation);
        long time = threads.getCurrentThreadCpuTime() - timeBefore;
        long allocated = threads.getThreadAllocatedBytes(thread) - allocatedBefore;
        add(
                quantity,
                size,
                time / (double) operations / NANOSECONDS_PER_MICROSECOND,
                "microseconds");
        add(quantity + ", allocated", size, (double) allocated / operations, "bytes");
    }

    private static void run(int operations, IntConsumer operation) {
        for (int index = 0; index < operations; index++) {
            operation.accept(index);
        }
    }

    void add(String quantity, String size, double value, String unit) {
        slopes.add(new Slope(quantity, size, value, unit));
    }
}
