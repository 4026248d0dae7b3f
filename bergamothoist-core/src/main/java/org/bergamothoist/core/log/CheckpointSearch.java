package org.bergamothoist.core.log;

import java.util.Optional;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;

/**
 * Searches the retained log, from its end backwards, for the checkpoint to start from: the one with
 * the highest covered offset whose successor is still retained. The search ends where no older
 * record can hold a better one, since a checkpoint covers only offsets below its own.
 */
final class CheckpointSearch {

    private final int pageSize;

    /** Records below this offset were searched before. */
    private long floor = 1;

    private long endOffset;
    private long pageStart;
    private Checkpoint best;
    private boolean running;

    CheckpointSearch(int pageSize) {
        this.pageSize = pageSize;
    }

    /** Starts at the end of the log, which a page tells. */
    void start(LogPage page) {
        running = true;
        endOffset = page.endOffset();
        floor = Math.max(floor, page.firstRetainedOffset());
        dropExpired(page.firstRetainedOffset());
        pageStart = Math.max(floor, endOffset - pageSize);
    }

    boolean isRunning() {
        return running;
    }

    /** Stops, keeping what was found. */
    void stop() {
        running = false;
    }

    /** Returns the offset to read from next. */
    long nextOffset() {
        return pageStart;
    }

    /** Takes the page read from {@link #nextOffset}; returns whether the search is over. */
    boolean accept(LogPage page) {
        floor = Math.max(floor, page.firstRetainedOffset());
        for (LogEntry entry : page.entries()) {
            if (entry.record() instanceof Checkpoint checkpoint) {
                consider(entry.offset(), checkpoint);
            }
        }
        dropExpired(page.firstRetainedOffset());
        boolean finished = pageStart <= floor || (best != null && isBestBelow(pageStart));
        if (finished) {
            running = false;
            floor = endOffset;
        } else {
            pageStart = Math.max(floor, pageStart - pageSize);
        }
        return finished;
    }

    private boolean isBestBelow(long offset) {
        return best.coveredOffset() + 1 >= offset;
    }

    private void consider(long offset, Checkpoint checkpoint) {
        boolean better = best == null || checkpoint.coveredOffset() > best.coveredOffset();
        if (better && isValid(offset, checkpoint)) {
            best = checkpoint;
        }
    }

    private static boolean isValid(long offset, Checkpoint checkpoint) {
        return checkpoint.coveredOffset() < offset
                && checkpoint.state().appliedOffset() == checkpoint.coveredOffset()
                && SharedState.digest(checkpoint.state()).equals(checkpoint.digest());
    }

    private void dropExpired(long firstRetainedOffset) {
        if (best != null && best.coveredOffset() + 1 < firstRetainedOffset) {
            best = null;
        }
    }

    /** Returns the best checkpoint found and forgets it. */
    Optional<Checkpoint> takeBest() {
        Optional<Checkpoint> found = Optional.ofNullable(best);
        best = null;
        return found;
    }
}
