package org.bergamothoist.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The queued requests of one organisation for one model key or service, by priority.
 *
 * @param <K> identifies an organisation
 * @param <E> a queued request
 */
public final class OrganisationQueue<K, E extends FairQueue.Entry<K>> {

    private final K organisation;
    private final long sequence;
    private final List<Deque<E>> byPriority = new ArrayList<>();
    private int size;
    private double virtualStart;

    OrganisationQueue(K organisation, long sequence) {
        this.organisation = organisation;
        this.sequence = sequence;
        for (int priority = 0; priority < AdmissionRequest.PRIORITIES; priority++) {
            byPriority.add(new ArrayDeque<>());
        }
    }

    public K organisation() {
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

    /** Returns the number of queued requests. */
    public int size() {
        return size;
    }

    int size(int priority) {
        return byPriority.get(priority).size();
    }

    void add(E request) {
        byPriority.get(request.priority()).addLast(request);
        size++;
    }

    /** Returns the oldest request of the most urgent non-empty priority. */
    public E head() {
        for (Deque<E> queue : byPriority) {
            if (!queue.isEmpty()) {
                return queue.peekFirst();
            }
        }
        throw new IllegalStateException("the queue of " + organisation + " is empty");
    }

    /** Returns the newest request of the least urgent non-empty priority. */
    public E tail() {
        for (int priority = AdmissionRequest.PRIORITIES - 1; priority >= 0; priority--) {
            if (!byPriority.get(priority).isEmpty()) {
                return byPriority.get(priority).peekLast();
            }
        }
        throw new IllegalStateException("the queue of " + organisation + " is empty");
    }

    /** Returns the cost of the queued requests ahead of a new request of the priority. */
    public double costAhead(int priority) {
        double cost = 0;
        for (int level = 0; level <= priority; level++) {
            for (E queued : byPriority.get(level)) {
                cost += queued.cost();
            }
        }
        return cost;
    }

    boolean remove(E request) {
        boolean removed = byPriority.get(request.priority()).remove(request);
        if (removed) {
            size--;
        }
        return removed;
    }

    /** Calls the action with each request, the most urgent first. */
    public void forEach(Consumer<E> action) {
        byPriority.forEach(queue -> queue.forEach(action));
    }
}
