package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamothoist.core.time.Scheduler;

/**
 * Moves streams off a target shortly before it loads new weights. Most streams end by themselves
 * before that; they are left to do so, because the prompt of a moved stream has to be prefilled
 * again on another target. Confined to the event loop.
 */
public final class StreamMigrator {

    /** Time that streams get to end; most take about half a second on an engine under load. */
    static final Duration DRAIN_TIME = Duration.ofMillis(500);

    private final Consumer<String> moveStreams;
    private final Scheduler scheduler;
    private final Set<String> scheduledTargets = new HashSet<>();

    /**
     * Creates a migrator without scheduled migrations.
     *
     * @param moveStreams moves the streams of the target with the given id to other targets
     */
    public StreamMigrator(Consumer<String> moveStreams, Scheduler scheduler) {
        this.moveStreams = moveStreams;
        this.scheduler = scheduler;
    }

    /**
     * Moves the target's remaining streams after {@link #DRAIN_TIME}, unless that is scheduled
     * already.
     *
     * @param target id of a target that gets no new requests
     */
    public void scheduleMigration(String target) {
        if (scheduledTargets.add(target)) {
            scheduler.schedule(
                    DRAIN_TIME,
                    () -> {
                        scheduledTargets.remove(target);
                        moveStreams.accept(target);
                    });
        }
    }
}
