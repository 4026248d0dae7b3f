package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.bergamothoist.core.time.Scheduler;

/**
 * Moves streams off a target that is about to pause, shortly before it does. Most streams end
 * before that by themselves; a moved one is read again elsewhere. Confined to the event loop.
 */
public final class StreamDeparture {

    /** Time that streams get to end; most runs last about half a second at an engine in use. */
    static final Duration TIME_TO_END = Duration.ofMillis(500);

    private final Consumer<String> moveStreams;
    private final Scheduler scheduler;
    private final Set<String> scheduled = new HashSet<>();

    /**
     * Creates a departure that moves nothing yet.
     *
     * @param moveStreams moves the streams of a target
     */
    public StreamDeparture(Consumer<String> moveStreams, Scheduler scheduler) {
        this.moveStreams = moveStreams;
        this.scheduler = scheduler;
    }

    /** Notes that a target takes no new requests and pauses soon. */
    public void onPausing(String target) {
        if (scheduled.add(target)) {
            scheduler.schedule(
                    TIME_TO_END,
                    () -> {
                        scheduled.remove(target);
                        moveStreams.accept(target);
                    });
        }
    }
}
