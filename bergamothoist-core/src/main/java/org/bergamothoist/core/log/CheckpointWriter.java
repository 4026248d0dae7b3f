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
 * Writes checkpoints, so that older records may expire. Daemons wait by their rank in the roster
 * and give up when another's checkpoint shows up, so usually only one writes. Confined to the
 * control thread.
 */
public final class CheckpointWriter implements LogTailListener {

    private static final Logger LOGGER = LogManager.getLogger(CheckpointWriter.class);

    /** Time between checks whether a checkpoint is due. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Deadline of the append, and the pause after one that was not confirmed. */
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
    private long changes;
    private long coveredOffset;
    private Instant lastCheckpointAt;
    private Instant notBefore = Instant.MIN;
    private Plan plan;

    /** A checkpoint that waits for its turn. */
    private record Plan(long offset, Scheduler.Cancellable timer) {}

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

    /** Starts to write checkpoints when they are due. */
    public void start() {
        running = true;
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    /** Stops; an append in flight may still take effect. */
    public void stop() {
        running = false;
        cancelPlan();
    }

    private void check() {
        if (!running) {
            return;
        }
        planIfDue();
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    private void planIfDue() {
        if (!running || plan != null || writing || !isDue() || !isConfirmed()) {
            return;
        }
        Duration delay = settings.rankDelay().multipliedBy(rank()).plus(jitter());
        plan = new Plan(state.appliedOffset(), scheduler.schedule(delay, this::execute));
    }

    private boolean isDue() {
        Instant now = clock.instant();
        if (state.appliedOffset() == 0 || now.isBefore(notBefore)) {
            return false;
        }
        Duration age = Duration.between(lastCheckpointAt, now);
        return changes >= settings.records()
                || (changes > 0 && age.compareTo(settings.interval()) >= 0)
                || age.compareTo(settings.refreshInterval()) >= 0;
    }

    private boolean isConfirmed() {
        return tail.confirmedAge()
                .filter(age -> age.compareTo(ConfigurationFreshness.WINDOW) <= 0)
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

    private void execute() {
        plan = null;
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
        appender.append(checkpoint, entry -> isOwn(entry, covered), APPEND_DEADLINE)
                .whenComplete((offset, failure) -> finish(covered, failure));
    }

    private boolean isOwn(LogEntry entry, long covered) {
        return entry.record() instanceof Checkpoint checkpoint
                && checkpoint.writer().equals(self)
                && checkpoint.coveredOffset() == covered;
    }

    private void finish(long covered, Throwable failure) {
        writing = false;
        if (failure != null) {
            LOGGER.warn("checkpoint that covers {} not confirmed", covered);
            notBefore = clock.instant().plus(APPEND_DEADLINE);
        }
    }

    @Override
    public void onApplied(LogEntry entry, ApplyResult result) {
        if (result instanceof CheckpointSeen seen) {
            onCheckpoint(entry.offset(), seen.checkpoint().coveredOffset());
            return;
        }
        changes++;
        planIfDue();
    }

    private void onCheckpoint(long offset, long covered) {
        if (covered < coveredOffset) {
            return;
        }
        coveredOffset = covered;
        changes = Math.min(changes, offset - 1 - covered);
        lastCheckpointAt = clock.instant();
        if (plan != null && covered >= plan.offset()) {
            cancelPlan();
        }
    }

    @Override
    public void onRestored(long appliedOffset) {
        coveredOffset = appliedOffset;
        changes = 0;
        lastCheckpointAt = clock.instant();
        cancelPlan();
    }

    private void cancelPlan() {
        if (plan != null) {
            plan.timer().cancel();
            plan = null;
        }
    }
}
