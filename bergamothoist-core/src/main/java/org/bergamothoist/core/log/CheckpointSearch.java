package org.bergamothoist.core.log;

import java.util.Optional;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;

/**
 * Searches the retained log backwards, page by page, for the checkpoint to restore: the one with
 * the highest covered offset such that the log still retains the next record. A checkpoint covers
 * only offsets below its own, so the search ends as soon as no older record can hold a better one.
 */
final class CheckpointSearch {

    private final int pageSize;

    /** Records below this offset have expired or were covered by an earlier search. */
    private long searchedBelow = 1;

    private long endOffset;
    private long pageStart;
    private Checkpoint best;
    private boolean running;

    CheckpointSearch(int pageSize) {
        this.pageSize = pageSize;
    }

    /** Starts a search at the end of the log as given by a page. */
    void start(LogPage page) {
        running = true;
        endOffset = page.endOffset();
        searchedBelow = Math.max(searchedBelow, page.firstRetainedOffset());
        dropBestIfExpired(page.firstRetainedOffset());
        pageStart = Math.max(searchedBelow, endOffset - pageSize);
    }

    boolean isRunning() {
        return running;
    }

    /** Stops the search and keeps the best checkpoint found so far. */
    void stop() {
        running = false;
    }

    /** Returns the offset to read from next. */
    long nextOffset() {
        return pageStart;
    }

    /** Processes the page read at {@link #nextOffset} and returns whether the search is over. */
    boolean accept(LogPage page) {
        searchedBelow = Math.max(searchedBelow, page.firstRetainedOffset());
        for (LogEntry entry : page.entries()) {
            if (entry.record() instanceof Checkpoint checkpoint) {
                updateBest(entry.offset(), checkpoint);
            }
        }
        dropBestIfExpired(page.firstRetainedOffset());
        boolean finished =
                pageStart <= searchedBelow || (best != null && isBestAmongRecordsBelow(pageStart));
        if (finished) {
            running = false;
            searchedBelow = endOffset;
        } else {
            pageStart = Math.max(searchedBelow, pageStart - pageSize);
        }
        return finished;
    }

    private boolean isBestAmongRecordsBelow(long offset) {
        return best.coveredOffset() + 1 >= offset;
    }

    private void updateBest(long offset, Checkpoint checkpoint) {
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

    private void dropBestIfExpired(long firstRetainedOffset) {
        if (best != null && best.coveredOffset() + 1 < firstRetainedOffset) {
            best = null;
        }
    }

    /** Returns the best checkpoint found and clears it. */
    Optional<Checkpoint> takeBest() {
        Optional<Checkpoint> found = Optional.ofNullable(best);
        best = null;
        return found;
    }
}
