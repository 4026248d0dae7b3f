package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.feed.StoreReaderAssignment;
import org.bergamothoist.core.feed.StoreReaderRole;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Asks the readers of the store for records at an interval, while this daemon is none of them; asks
 * another reader at once if one fails or lags. Confined to the event loop.
 */
public final class ReaderPoller {

    /** Part of the interval that is random, so that daemons do not ask at the same time. */
    private static final int JITTER_DIVISOR = 8;

    private final StoreReaderRole role;
    private final RecordRelay relay;
    private final Supplier<Duration> interval;
    private final Duration timeout;
    private final Runnable onAnswer;
    private final Scheduler scheduler;
    private final DoubleSupplier random;

    /**
     * Creates a poller that sends no requests yet.
     *
     * @param interval returns the longest time between two requests
     * @param timeout time after which another reader is asked
     * @param onAnswer called after each request
     * @param random returns numbers from 0 to 1
     */
    public ReaderPoller(
            StoreReaderRole role,
            RecordRelay relay,
            Supplier<Duration> interval,
            Duration timeout,
            Runnable onAnswer,
            Scheduler scheduler,
            DoubleSupplier random) {
        this.role = role;
        this.relay = relay;
        this.interval = interval;
        this.timeout = timeout;
        this.onAnswer = onAnswer;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Starts to send requests whenever this daemon needs them. */
    public void start() {
        pollLater();
    }

    private void pollLater() {
        Duration range = interval.get().dividedBy(JITTER_DIVISOR);
        scheduler.schedule(
                Jitter.delay(interval.get().minus(range), range, random), this::pollIfNeeded);
    }

    private void pollIfNeeded() {
        if (role.isPolling()) {
            poll();
        } else {
            pollLater();
        }
    }

    private void poll() {
        role.nextSource().ifPresentOrElse(this::ask, this::pollLater);
    }

    private void ask(StoreReaderAssignment.Candidate reader) {
        relay.request(reader.name(), reader.peerAddress(), timeout)
                .whenComplete(
                        (completeUntil, failure) -> {
                            boolean current =
                                    failure == null && role.onAnswer(reader.name(), completeUntil);
                            if (failure != null) {
                                role.onFailure(reader.name());
                            }
                            onAnswer.run();
                            if (current) {
                                pollLater();
                            } else {
                                poll();
                            }
                        });
    }
}
