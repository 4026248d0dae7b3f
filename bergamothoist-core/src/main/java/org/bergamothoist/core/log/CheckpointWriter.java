package org.bergamothoist.core.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ApplyResult.CheckpointSeen;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.time.Scheduler;

/**
 * Appends checkpoints to the log, so that older records may expire. Each daemon delays its
 * checkpoint by its rank in the roster and drops it when a checkpoint of another daemon is read, so
 * that usually only one daemon writes. Confined to the control thread.
 */
public final class CheckpointWriter implements LogTailListener {

    private static final Logger LOGGER = LogManager.getLogger(CheckpointWriter.class);

    /** Interval between checks whether a checkpoint is due. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Deadline of an append, and the pause after an append that was not confirmed. */
    private static final Duration APPEND_DEADLINE = Duration.ofSeconds(10);

    private final DaemonId self;
    private final SharedState state;
    private final LogTail tail;
    private final LogAppender appender;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final CheckpointSettings settings;

    private boolean running;
    private boolean writing;
    private long recordsSinceCheckpoint;
    private long coveredOffset;
    private Instant lastCheckpointAt;
    private Instant retryNotBefore = Instant.MIN;
    private ScheduledCheckpoint scheduled;

    /**
     * A checkpoint that is scheduled but not written.
     *
     * @param offset applied offset at the time of scheduling
     */
    private record ScheduledCheckpoint(long offset, Scheduler.Cancellable timer) {}

    public CheckpointWriter(
            DaemonId self,
            SharedState state,
            LogTail tail,
            LogAppender appender,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            CheckpointSettings settings) {
        this.self = self;
        this.state = state;
        this.tail = tail;
        this.appender = appender;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.settings = settings;
        this.lastCheckpointAt = clock.instant();
        tail.addListener(this);
    }

    /** Starts writing checkpoints whenever one is due. */
    public void start() {
        running = true;
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    /** Stops writing checkpoints; an append in flight may still take effect. */
    public void stop() {
        running = false;
        cancelScheduled();
    }

    private void check() {
        if (!running) {
            return;
        }
        scheduleIfDue();
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    private void scheduleIfDue() {
        if (!running || scheduled != null || writing || !isDue() || !isConfirmed()) {
            return;
        }
        Duration delay = settings.rankDelay().multipliedBy(rank()).plus(jitter());
        scheduled =
                new ScheduledCheckpoint(
                        state.appliedOffset(), scheduler.schedule(delay, this::writeIfStillDue));
    }

    private boolean isDue() {
        Instant now = clock.instant();
        if (state.appliedOffset() == 0 || now.isBefore(retryNotBefore)) {
            return false;
        }
        Duration age = Duration.between(lastCheckpointAt, now);
        return recordsSinceCheckpoint >= settings.recordThreshold()
                || (recordsSinceCheckpoint > 0 && age.compareTo(settings.interval()) >= 0)
                || age.compareTo(settings.refreshInterval()) >= 0;
    }

    private boolean isConfirmed() {
        return tail.confirmedAge()
                .filter(age -> age.compareTo(ConfigurationFreshness.FRESHNESS_WINDOW) <= 0)
                .isPresent();
    }

    private int rank() {
        int rank = 0;
        for (RosterMember member : state.roster()) {
            if (member.daemon().equals(self)) {
                return rank;
            }
            rank++;
        }
        return rank;
    }

    private Duration jitter() {
        return Duration.ofNanos((long) (settings.maximumJitter().toNanos() * random.nextDouble()));
    }

    private void writeIfStillDue() {
        scheduled = null;
        if (running && isDue() && isConfirmed()) {
            write();
        }
    }

    private void write() {
        writing = true;
        SharedStateSnapshot snapshot = state.snapshot();
        long covered = snapshot.appliedOffset();
        Checkpoint checkpoint =
                new Checkpoint(self, covered, SharedState.digest(snapshot), snapshot);
        appender.append(checkpoint, entry -> isOwnCheckpoint(entry, covered), APPEND_DEADLINE)
                .whenComplete((offset, failure) -> onAppendCompleted(covered, failure));
    }

    private boolean isOwnCheckpoint(LogEntry entry, long covered) {
        return entry.record() instanceof Checkpoint checkpoint
                && checkpoint.writer().equals(self)
                && checkpoint.coveredOffset() == covered;
    }

    private void onAppendCompleted(long covered, Throwable failure) {
        writing = false;
        if (failure != null) {
            LOGGER.warn(
                    "append of the checkpoint that covers offset {} was not confirmed", covered);
            retryNotBefore = clock.instant().plus(APPEND_DEADLINE);
        }
    }

    @Override
    public void onApplied(LogEntry entry, ApplyResult result) {
        if (result instanceof CheckpointSeen seen) {
            onCheckpointApplied(entry.offset(), seen.checkpoint().coveredOffset());
            return;
        }
        recordsSinceCheckpoint++;
        scheduleIfDue();
    }

    private void onCheckpointApplied(long offset, long covered) {
        if (covered < coveredOffset) {
            return;
        }
        coveredOffset = covered;
        recordsSinceCheckpoint = Math.min(recordsSinceCheckpoint, offset - 1 - covered);
        lastCheckpointAt = clock.instant();
        if (scheduled != null && covered >= scheduled.offset()) {
            cancelScheduled();
        }
    }

    @Override
    public void onRestored(long appliedOffset) {
        coveredOffset = appliedOffset;
        recordsSinceCheckpoint = 0;
        lastCheckpointAt = clock.instant();
        cancelScheduled();
    }

    private void cancelScheduled() {
        if (scheduled != null) {
            scheduled.timer().cancel();
            scheduled = null;
        }
    }
}
