package org.bergamothoist.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.bergamothoist.core.identity.OrganisationId;

/** The queued requests of one organisation for one model key, by priority. */
final class OrganisationQueue {

    private final OrganisationId organisation;
    private final long sequence;
    private final List<Deque<QueuedRequest>> byPriority = new ArrayList<>();
    private int size;
    private double virtualStart;

    OrganisationQueue(OrganisationId organisation, long sequence) {
        this.organisation = organisation;
        this.sequence = sequence;
        for (int priority = 0; priority < AdmissionRequest.PRIORITIES; priority++) {
            byPriority.add(new ArrayDeque<>());
        }
    }

    OrganisationId organisation() {
        return organisation;
    }

    /** Returns the queue's creation number, which orders queues of equal virtual start. */
    long sequence() {
        return sequence;
    }

    /**
     * Returns the virtual start time of the queue's next request (the start tag of fair queueing).
     */
    double virtualStart() {
        return virtualStart;
    }

    void virtualStart(double time) {
        virtualStart = time;
    }

    int size() {
        return size;
    }

    int size(int priority) {
        return byPriority.get(priority).size();
    }

    void add(QueuedRequest request) {
        byPriority.get(request.request().priority()).addLast(request);
        size++;
    }

    /** Returns the oldest request of the most urgent non-empty priority. */
    QueuedRequest head() {
        for (Deque<QueuedRequest> queue : byPriority) {
            if (!queue.isEmpty()) {
                return queue.peekFirst();
            }
        }
        throw new IllegalStateException("the queue of " + organisation + " is empty");
    }

    /** Returns the newest request of the least urgent non-empty priority. */
    QueuedRequest tail() {
        for (int priority = AdmissionRequest.PRIORITIES - 1; priority >= 0; priority--) {
            if (!byPriority.get(priority).isEmpty()) {
                return byPriority.get(priority).peekLast();
            }
        }
        throw new IllegalStateException("the queue of " + organisation + " is empty");
    }

    /**
     * Returns the estimated tokens of the queued requests ahead of a new request of the priority.
     */
    double tokensAhead(int priority) {
        double tokens = 0;
        for (int level = 0; level <= priority; level++) {
            for (QueuedRequest queued : byPriority.get(level)) {
                tokens += queued.request().estimatedTokens();
            }
        }
        return tokens;
    }

    boolean remove(QueuedRequest request) {
        boolean removed = byPriority.get(request.request().priority()).remove(request);
        if (removed) {
            size--;
        }
        return removed;
    }

    void forEach(Consumer<QueuedRequest> action) {
        byPriority.forEach(queue -> queue.forEach(action));
    }
}
