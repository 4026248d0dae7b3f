package org.bergamothoist.core.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.peer.PeerMessage.LogTailRelay;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.time.Scheduler;

/**
 * Reads the log and folds it into the shared state, each record once and in order. Confined to the
 * control thread.
 */
public final class LogTail {

    /**
     * Time after the last good answer during which a failed read does not yet count as an outage,
     * so that one lost answer does not refuse claims. It ends before a view stops being fresh.
     */
    private static final Duration OUTAGE_GRACE = Duration.ofSeconds(1);

    /** Confirmed age that a daemon tells its peers if it never saw the log's end. */
    public static final Duration NEVER_CONFIRMED = Duration.ofDays(1);

    /** Smallest part of a backoff delay that the jitter leaves. */
    private static final double MINIMUM_JITTER = 0.5;

    private static final Logger LOGGER = LogManager.getLogger(LogTail.class);

    private final LogService log;
    private final SharedState state;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final LogTailSettings settings;
    private final EntryBuffer buffer;
    private final CheckpointSearch search;
    private final List<LogTailListener> listeners = new ArrayList<>();
    private final TreeMap<Long, CompletableFuture<Void>> waiters = new TreeMap<>();

    private boolean running;
    private boolean readAgain;
    private boolean lastReadFailed = true;
    private boolean searchNeeded;
    private int failures;
    private long firstRetainedOffset;
    private Instant lastAnswerAt;
    private Instant confirmedAt;
    private Read readInFlight;
    private Scheduler.Cancellable nextRead = () -> {};

    /** A read that has not been answered. */
    private static final class Read {
        private final Instant startedAt;
        private final long fromOffset;
        private Scheduler.Cancellable timeout = () -> {};

        Read(Instant startedAt, long fromOffset) {
            this.startedAt = startedAt;
            this.fromOffset = fromOffset;
        }
    }

    /** Creates a tail that does not read before {@link #start}. */
    public LogTail(
            LogService log,
            SharedState state,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            LogTailSettings settings) {
        this.log = log;
        this.state = state;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.settings = settings;
        this.buffer = new EntryBuffer(settings.bufferedEntries());
        this.search = new CheckpointSearch(settings.pageSize());
    }

    /** Adds a listener. Listeners are called in the order of their addition. */
    public void addListener(LogTailListener listener) {
        listeners.add(listener);
    }

    /** Starts to read after the delay, which spreads the reads of daemons that start together. */
    public void start(Duration delay) {
        running = true;
        schedule(delay);
    }

    /** Stops reading. */
    public void stop() {
        running = false;
        nextRead.cancel();
    }

    /** Returns the offset of the last record folded, 0 if none. */
    public long appliedOffset() {
        return state.appliedOffset();
    }

    /**
     * Returns the time since the own view was last known to contain the whole log, counted from the
     * start of the read that showed it; empty if never.
     */
    public Optional<Duration> confirmedAge() {
        return Optional.ofNullable(confirmedAt)
                .map(confirmed -> Duration.between(confirmed, clock.instant()));
    }

    /** Returns whether the log answers. */
    public boolean isReachable() {
        if (lastAnswerAt == null) {
            return false;
        }
        return !lastReadFailed || !clock.instant().isAfter(lastAnswerAt.plus(OUTAGE_GRACE));
    }

    /** Returns whether the state is too old for the retained log and only a snapshot can help. */
    public boolean needsSnapshot() {
        return searchNeeded && !search.isRunning();
    }

    /** Completes when the record at the offset has been folded or is covered by the state. */
    public CompletionStage<Void> whenApplied(long offset) {
        if (offset <= appliedOffset()) {
            return CompletableFuture.completedFuture(null);
        }
        return waiters.computeIfAbsent(offset, key -> new CompletableFuture<>()).copy();
    }

    /** Returns recent records that follow an offset, or none if they are not kept any more. */
    public List<LogEntry> entriesAfter(long offset, int maximum) {
        return buffer.after(offset, maximum);
    }

    /** Returns a message for a peer that lags; empty if the records it lacks are not kept. */
    public Optional<LogTailRelay> relayAfter(long offset, int maximum) {
        List<LogEntry> entries = entriesAfter(offset, maximum);
        boolean forgotten = entries.isEmpty() && offset != appliedOffset();
        if (forgotten) {
            return Optional.empty();
        }
        Duration age = confirmedAge().orElse(NEVER_CONFIRMED);
        return Optional.of(new LogTailRelay(entries, appliedOffset() + 1, age));
    }

    /** Reads now instead of at the next interval; a read in flight is followed by another. */
    public void readNow() {
        if (!running) {
            return;
        }
        if (readInFlight != null) {
            readAgain = true;
            return;
        }
        nextRead.cancel();
        read();
    }

    private void schedule(Duration delay) {
        nextRead.cancel();
        nextRead = scheduler.schedule(delay, this::read);
    }

    private void read() {
        if (!running || readInFlight != null) {
            return;
        }
        readAgain = false;
        long from = search.isRunning() ? search.nextOffset() : appliedOffset() + 1;
        Read read = new Read(clock.instant(), from);
        readInFlight = read;
        read.timeout =
                scheduler.schedule(settings.readTimeout(), () -> fail(read, "no answer in time"));
        // The hop by the scheduler, not by the stage, lets failures of listeners reach its handler.
        request(from)
                .whenComplete(
                        (page, failure) -> scheduler.execute(() -> answer(read, page, failure)));
    }

    private void answer(Read read, LogPage page, Throwable failure) {
        if (failure == null) {
            accept(read, page);
        } else {
            fail(read, failure.getMessage());
        }
    }

    private CompletionStage<LogPage> request(long from) {
        try {
            return log.read(from, settings.pageSize());
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void fail(Read read, String reason) {
        if (readInFlight != read) {
            return;
        }
        finish(read);
        lastReadFailed = true;
        failures++;
        LOGGER.debug("log read from offset {} failed: {}", read.fromOffset, reason);
        schedule(backoff());
    }

    private Duration backoff() {
        long longest = settings.maximumBackoff().toMillis();
        long exponential = settings.pollInterval().toMillis() << Math.min(failures, Byte.SIZE);
        double jitter = MINIMUM_JITTER + random.nextDouble() * (1 - MINIMUM_JITTER);
        return Duration.ofMillis((long) (Math.min(longest, exponential) * jitter));
    }

    private void finish(Read read) {
        read.timeout.cancel();
        readInFlight = null;
    }

    private void accept(Read read, LogPage page) {
        // An answer after its timeout is dropped, since another read may have been started.
        if (readInFlight != read) {
            return;
        }
        finish(read);
        lastReadFailed = false;
        failures = 0;
        lastAnswerAt = clock.instant();
        firstRetainedOffset = page.firstRetainedOffset();
        try {
            use(read, page);
        } finally {
            // Reading goes on even if a listener fails.
            if (running) {
                schedule(needsMore(page) || readAgain ? Duration.ZERO : settings.pollInterval());
            }
        }
    }

    private void use(Read read, LogPage page) {
        if (search.isRunning() && read.fromOffset == search.nextOffset()) {
            continueSearch(page);
        } else {
            foldPage(read, page);
        }
    }

    private boolean needsMore(LogPage page) {
        return search.isRunning() || (!searchNeeded && appliedOffset() + 1 < page.endOffset());
    }

    private void foldPage(Read read, LogPage page) {
        page.entries().forEach(this::fold);
        if (appliedOffset() + 1 >= page.endOffset()) {
            searchNeeded = false;
            confirm(read.startedAt);
        } else if (appliedOffset() + 1 < page.firstRetainedOffset()) {
            searchNeeded = true;
            search.start(page);
        }
    }

    private void continueSearch(LogPage page) {
        if (!search.accept(page)) {
            return;
        }
        Optional<Checkpoint> found = search.takeBest();
        if (found.isPresent() && found.get().coveredOffset() > appliedOffset()) {
            LOGGER.info("starting from the checkpoint that covers {}", found.get().coveredOffset());
            restore(found.get().state());
        } else if (appliedOffset() + 1 < page.firstRetainedOffset()) {
            LOGGER.warn("no usable checkpoint is retained; waiting for a peer's snapshot");
        }
    }

    private void fold(LogEntry entry) {
        if (entry.offset() != appliedOffset() + 1) {
            return;
        }
        ApplyResult result = state.apply(entry);
        buffer.add(entry);
        for (LogTailListener listener : listeners) {
            listener.onApplied(entry, result);
        }
        completeWaiters();
    }

    private void restore(SharedStateSnapshot snapshot) {
        state.restore(snapshot);
        buffer.startAt(snapshot.appliedOffset() + 1);
        search.stop();
        searchNeeded = false;
        for (LogTailListener listener : listeners) {
            listener.onRestored(snapshot.appliedOffset());
        }
        completeWaiters();
    }

    private void completeWaiters() {
        while (!waiters.isEmpty() && waiters.firstKey() <= appliedOffset()) {
            waiters.pollFirstEntry().getValue().complete(null);
        }
    }

    private void confirm(Instant at) {
        if (confirmedAt == null || at.isAfter(confirmedAt)) {
            confirmedAt = at;
        }
    }

    /**
     * Folds the records that follow the own state; the others are ignored. The sender's
     * confirmation of the log's end applies if these are all of the log's records that the sender
     * knows of.
     *
     * @param transit upper bound of the time since the sender sent the message; a message that was
     *     held up must not make an old view look fresh
     */
    public void acceptRelay(LogTailRelay relay, Duration transit) {
        relay.entries().forEach(this::fold);
        if (appliedOffset() > 0 && appliedOffset() + 1 == relay.endOffset()) {
            confirmFromPeer(relay.confirmedAge(), transit);
        }
    }

    /**
     * Takes a peer's state if it is ahead of the own one and the log can be read on from there, or
     * the log does not answer. Returns whether it was taken.
     *
     * @param confirmedAge age of the sender's confirmation when it sent the snapshot
     * @param transit upper bound of the time since the sender sent the message
     */
    public boolean acceptSnapshot(
            SharedStateSnapshot snapshot, Duration confirmedAge, Duration transit) {
        boolean forward = snapshot.appliedOffset() > appliedOffset();
        boolean continuable = snapshot.appliedOffset() + 1 >= firstRetainedOffset;
        if (!forward || (isReachable() && !continuable)) {
            return false;
        }
        restore(snapshot);
        confirmFromPeer(confirmedAge, transit);
        return true;
    }

    private void confirmFromPeer(Duration confirmedAge, Duration transit) {
        boolean plausible =
                !confirmedAge.isNegative()
                        && !transit.isNegative()
                        && confirmedAge.compareTo(NEVER_CONFIRMED) < 0;
        if (plausible) {
            confirm(clock.instant().minus(confirmedAge).minus(transit));
        }
    }
}
