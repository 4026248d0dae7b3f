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
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.peer.PeerMessage.LogTailRelay;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.time.Scheduler;

/**
 * Polls the log and applies its records to the shared state, each record once and in order.
 * Confined to the control thread.
 *
 * <p>A log that has come back from an older copy gives offsets out again, so that the state may
 * contain records that no longer exist. It cannot be corrected, since records cannot be undone:
 * once that shows, this object applies nothing any more until the daemon is restarted. It shows if
 * the log ends before a record that was applied before the read, or if the record that was applied
 * last is another one now.
 */
public final class LogTail {

    /**
     * Time after the last successful read during which a failed read does not yet count as an
     * outage, so that a single lost response does not cause claims to be refused. It is shorter
     * than the freshness window.
     */
    private static final Duration OUTAGE_GRACE_PERIOD = Duration.ofSeconds(1);

    /** Confirmed age sent to peers by a daemon that has never read the log up to its end. */
    public static final Duration NEVER_CONFIRMED = Duration.ofDays(1);

    /** Lower bound of the random factor by which a backoff delay is multiplied. */
    private static final double MINIMUM_BACKOFF_FACTOR = 0.5;

    private static final Logger LOGGER = LogManager.getLogger(LogTail.class);

    private final LogService log;
    private final SharedState state;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final LogTailSettings settings;
    private final EntryBuffer buffer;
    private final CheckpointSearch checkpointSearch;
    private final List<LogTailListener> listeners = new ArrayList<>();
    private final TreeMap<Long, CompletableFuture<Void>> waiters = new TreeMap<>();

    private boolean running;
    private boolean fallenBack;

    /** Whether the log's pages are so short that they end with the record that is read again. */
    private boolean verificationSkipped;

    private boolean rereadRequested;
    private boolean lastReadFailed = true;
    private boolean checkpointNeeded;
    private int consecutiveFailures;
    private long firstRetainedOffset;
    private Instant lastResponseAt;
    private Instant confirmedAt;
    private PendingRead readInFlight;
    private Scheduler.Cancellable nextRead = () -> {};

    /** A read whose response has not arrived. */
    private static final class PendingRead {
        private final Instant startedAt;
        private final long fromOffset;
        private final long appliedOffset;
        private Scheduler.Cancellable timeout = () -> {};

        PendingRead(Instant startedAt, long fromOffset, long appliedOffset) {
            this.startedAt = startedAt;
            this.fromOffset = fromOffset;
            this.appliedOffset = appliedOffset;
        }
    }

    /** Creates a tail that begins to read when {@link #start} is called. */
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
        this.checkpointSearch = new CheckpointSearch(settings.pageSize());
    }

    /** Adds a listener. Listeners are called in the order in which they were added. */
    public void addListener(LogTailListener listener) {
        listeners.add(listener);
    }

    /** Starts reading after a delay, which spreads the reads of daemons that start together. */
    public void start(Duration delay) {
        running = true;
        schedule(delay);
    }

    /** Stops reading. */
    public void stop() {
        running = false;
        nextRead.cancel();
    }

    /**
     * Returns whether the log has lost records that were applied, so that nothing is known of the
     * state that daemons share.
     */
    public boolean hasFallenBack() {
        return fallenBack;
    }

    /** Returns the offset of the last record applied, 0 if none. */
    public long appliedOffset() {
        return state.appliedOffset();
    }

    /**
     * Returns the time since the shared state was last known to include the whole log, counted from
     * the start of the read that confirmed it; empty if that has never been the case or the log has
     * fallen back.
     */
    public Optional<Duration> confirmedAge() {
        if (fallenBack) {
            return Optional.empty();
        }
        return Optional.ofNullable(confirmedAt)
                .map(confirmed -> Duration.between(confirmed, clock.instant()));
    }

    /** Returns whether the log responds to reads. */
    public boolean isReachable() {
        if (lastResponseAt == null || fallenBack) {
            return false;
        }
        return !lastReadFailed
                || !clock.instant().isAfter(lastResponseAt.plus(OUTAGE_GRACE_PERIOD));
    }

    /**
     * Returns whether the log no longer retains the next record and no usable checkpoint was found,
     * so that only a peer's snapshot lets this daemon catch up.
     */
    public boolean needsSnapshot() {
        return checkpointNeeded && !checkpointSearch.isRunning();
    }

    /** Completes when the state includes the record at the offset. */
    public CompletionStage<Void> whenApplied(long offset) {
        if (offset <= appliedOffset()) {
            return CompletableFuture.completedFuture(null);
        }
        return waiters.computeIfAbsent(offset, key -> new CompletableFuture<>()).copy();
    }

    /** Returns buffered records that follow an offset; none if the first one was evicted. */
    public List<LogEntry> entriesAfter(long offset, int maximum) {
        return buffer.entriesAfter(offset, maximum);
    }

    /** Returns the records that a lagging peer lacks; empty if they are no longer buffered. */
    public Optional<LogTailRelay> relayAfter(long offset, int maximum) {
        List<LogEntry> entries = entriesAfter(offset, maximum);
        boolean evicted = entries.isEmpty() && offset != appliedOffset();
        if (evicted) {
            return Optional.empty();
        }
        Duration age = confirmedAge().orElse(NEVER_CONFIRMED);
        return Optional.of(new LogTailRelay(entries, appliedOffset() + 1, age));
    }

    /** Reads at once instead of at the next poll; a read in flight is followed by another one. */
    public void readNow() {
        if (!running) {
            return;
        }
        if (readInFlight != null) {
            rereadRequested = true;
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
        rereadRequested = false;
        long from = checkpointSearch.isRunning() ? checkpointSearch.nextOffset() : nextReadOffset();
        PendingRead read = new PendingRead(clock.instant(), from, appliedOffset());
        readInFlight = read;
        read.timeout =
                scheduler.schedule(
                        settings.readTimeout(),
                        () ->
                                onReadFailed(
                                        read,
                                        "no response within "
                                                + settings.readTimeout().toMillis()
                                                + " ms"));
        // Runs on the scheduler, so that exceptions of listeners reach the scheduler's handler
        // instead of being swallowed by the completion stage.
        requestPage(from)
                .whenComplete(
                        (page, failure) ->
                                scheduler.execute(() -> onResponse(read, page, failure)));
    }

    /**
     * The last record is read again to see whether it is still the same. A large one is read again
     * only after a failed read.
     */
    private long nextReadOffset() {
        boolean verified =
                !verificationSkipped
                        && lastApplied()
                                .filter(last -> lastReadFailed || !isLarge(last))
                                .isPresent();
        return verified ? appliedOffset() : appliedOffset() + 1;
    }

    private static boolean isLarge(LogEntry entry) {
        return entry.record() instanceof Checkpoint
                || entry.record() instanceof LogRecord.SheetSubmission;
    }

    private Optional<LogEntry> lastApplied() {
        return buffer.entriesAfter(appliedOffset() - 1, 1).stream().findFirst();
    }

    private void onResponse(PendingRead read, LogPage page, Throwable failure) {
        if (failure == null) {
            onPage(read, page);
        } else {
            onReadFailed(read, failure.getMessage());
        }
    }

    private CompletionStage<LogPage> requestPage(long from) {
        try {
            return log.read(from, settings.pageSize());
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void onReadFailed(PendingRead read, String reason) {
        if (readInFlight != read) {
            return;
        }
        clearReadInFlight(read);
        lastReadFailed = true;
        consecutiveFailures++;
        LOGGER.debug("log read from offset {} failed: {}", read.fromOffset, reason);
        schedule(backoff());
    }

    private Duration backoff() {
        long longest = settings.maximumBackoff().toMillis();
        long exponential =
                settings.pollInterval().toMillis() << Math.min(consecutiveFailures, Byte.SIZE);
        double factor = MINIMUM_BACKOFF_FACTOR + random.nextDouble() * (1 - MINIMUM_BACKOFF_FACTOR);
        return Duration.ofMillis((long) (Math.min(longest, exponential) * factor));
    }

    private void clearReadInFlight(PendingRead read) {
        read.timeout.cancel();
        readInFlight = null;
    }

    private void onPage(PendingRead read, LogPage page) {
        // A response that arrives after its timeout is dropped: another read may be in flight.
        if (readInFlight != read) {
            return;
        }
        clearReadInFlight(read);
        if (isOfOlderCopy(read, page)) {
            onFallback(page);
            return;
        }
        lastReadFailed = false;
        consecutiveFailures = 0;
        lastResponseAt = clock.instant();
        firstRetainedOffset = page.firstRetainedOffset();
        try {
            processPage(read, page);
        } finally {
            // Polling continues even if a listener throws.
            if (running) {
                schedule(
                        hasMoreToRead(page) || rereadRequested
                                ? Duration.ZERO
                                : settings.pollInterval());
            }
        }
    }

    private boolean isOfOlderCopy(PendingRead read, LogPage page) {
        return page.endOffset() <= read.appliedOffset
                || page.entries().stream().anyMatch(this::differsFromApplied);
    }

    /** Records that this version cannot decode are not compared: a peer may have relayed them. */
    private boolean differsFromApplied(LogEntry entry) {
        return !(entry.record() instanceof LogRecord.Unknown)
                && buffer.entriesAfter(entry.offset() - 1, 1).stream()
                        .filter(applied -> !(applied.record() instanceof LogRecord.Unknown))
                        .anyMatch(applied -> !applied.equals(entry));
    }

    private void onFallback(LogPage page) {
        fallenBack = true;
        stop();
        LOGGER.error(
                "{}: the log ends at offset {} and has lost records that were applied up to offset"
                        + " {}; this daemon refuses requests until it is restarted",
                ErrorCode.LOG_FELL_BACK,
                page.endOffset(),
                appliedOffset());
    }

    private void processPage(PendingRead read, LogPage page) {
        verificationSkipped =
                read.fromOffset == read.appliedOffset
                        && page.entries().size() == 1
                        && page.endOffset() > read.appliedOffset + 1;
        if (checkpointSearch.isRunning() && read.fromOffset == checkpointSearch.nextOffset()) {
            continueCheckpointSearch(page);
        } else {
            applyPage(read, page);
        }
    }

    private boolean hasMoreToRead(LogPage page) {
        return checkpointSearch.isRunning()
                || (!checkpointNeeded && appliedOffset() + 1 < page.endOffset());
    }

    private void applyPage(PendingRead read, LogPage page) {
        page.entries().forEach(this::applyIfNext);
        if (appliedOffset() + 1 >= page.endOffset()) {
            checkpointNeeded = false;
            recordConfirmation(read.startedAt);
        } else if (appliedOffset() + 1 < page.firstRetainedOffset()) {
            checkpointNeeded = true;
            checkpointSearch.start(page);
        }
    }

    private void continueCheckpointSearch(LogPage page) {
        if (!checkpointSearch.accept(page)) {
            return;
        }
        Optional<Checkpoint> found = checkpointSearch.takeBest();
        if (found.isPresent() && found.get().coveredOffset() > appliedOffset()) {
            LOGGER.info(
                    "restoring the state from the checkpoint that covers offset {}",
                    found.get().coveredOffset());
            restore(found.get().state());
        } else if (appliedOffset() + 1 < page.firstRetainedOffset()) {
            LOGGER.warn("the log retains no usable checkpoint; waiting for a snapshot from a peer");
        }
    }

    private void applyIfNext(LogEntry entry) {
        if (fallenBack || entry.offset() != appliedOffset() + 1) {
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
        buffer.resetTo(snapshot.appliedOffset() + 1);
        checkpointSearch.stop();
        checkpointNeeded = false;
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

    private void recordConfirmation(Instant at) {
        if (confirmedAt == null || at.isAfter(confirmedAt)) {
            confirmedAt = at;
        }
    }

    /**
     * Applies the relayed records that follow the applied offset and ignores the others. If the
     * state then includes every record that the sender knows of, the sender's confirmation of the
     * log's end applies to this daemon as well.
     *
     * @param transit upper bound of the time since the sender sent the message; without it a
     *     delayed message would make an outdated state look fresh
     */
    public void acceptRelay(LogTailRelay relay, Duration transit) {
        relay.entries().forEach(this::applyIfNext);
        if (appliedOffset() > 0 && appliedOffset() + 1 == relay.endOffset()) {
            confirmFromPeer(relay.confirmedAge(), transit);
        }
    }

    /**
     * Replaces the state by a peer's snapshot if the snapshot is newer and either the log retains
     * the record after it or the log is unreachable.
     *
     * @param confirmedAge age of the sender's confirmation when it sent the snapshot
     * @param transit upper bound of the time since the sender sent the message
     * @return whether the state was replaced
     */
    public boolean acceptSnapshot(
            SharedStateSnapshot snapshot, Duration confirmedAge, Duration transit) {
        boolean newer = snapshot.appliedOffset() > appliedOffset();
        boolean nextIsRetained = snapshot.appliedOffset() + 1 >= firstRetainedOffset;
        if (fallenBack || !newer || (isReachable() && !nextIsRetained)) {
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
            recordConfirmation(clock.instant().minus(confirmedAge).minus(transit));
        }
    }
}
