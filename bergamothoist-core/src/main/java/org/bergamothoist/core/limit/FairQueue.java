package org.bergamothoist.core.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * The organisations' queues for one model key or service, ordered by start-time fair queueing: with
 * each dispatched request, the virtual start of its organisation's queue advances by the request's
 * cost divided by the organisation's weight.
 *
 * @param <K> identifies an organisation
 * @param <E> a queued request
 */
public final class FairQueue<K, E extends FairQueue.Entry<K>> {

    /** Number of empty queues above which those whose virtual start has passed are removed. */
    private static final int MAXIMUM_IDLE_QUEUES = 64;

    private final Map<K, OrganisationQueue<K, E>> queues = new HashMap<>();
    private final NavigableSet<OrganisationQueue<K, E>> active =
            new TreeSet<>(
                    Comparator.<OrganisationQueue<K, E>>comparingDouble(
                                    OrganisationQueue::virtualStart)
                            .thenComparingLong(OrganisationQueue::sequence));
    private double virtualTime;
    private long nextSequence;

    /**
     * A request that can be queued.
     *
     * @param <K> identifies an organisation
     */
    public interface Entry<K> {

        /** Returns the organisation that the request is charged to. */
        K organisation();

        /** Returns the priority within the organisation, 0 is the most urgent. */
        int priority();

        /** Returns the work that the request causes, such as its number of tokens. */
        long cost();
    }

    /** Returns the queues that are not empty, the next one to be served first. */
    public Collection<OrganisationQueue<K, E>> active() {
        return active;
    }

    /** Returns the queue of an organisation, which is created if necessary. */
    public OrganisationQueue<K, E> queueOf(K organisation) {
        return queues.computeIfAbsent(
                organisation, key -> new OrganisationQueue<>(key, nextSequence++));
    }

    /** Adds a request behind those of its organisation and priority. */
    public void add(E request) {
        OrganisationQueue<K, E> queue = queueOf(request.organisation());
        if (queue.size() == 0) {
            queue.virtualStart(Math.max(virtualTime, queue.virtualStart()));
        }
        queue.add(request);
        active.add(queue);
    }

    /**
     * Removes a request that was not dispatched.
     *
     * @return whether the request was queued
     */
    public boolean remove(E request) {
        OrganisationQueue<K, E> queue = queues.get(request.organisation());
        if (queue == null || !queue.remove(request)) {
            return false;
        }
        if (queue.size() == 0) {
            active.remove(queue);
            removeIdle();
        }
        return true;
    }

    /** Removes a dispatched request and charges its cost to the organisation. */
    public void removeDispatched(E request, int weight) {
        OrganisationQueue<K, E> queue = queues.get(request.organisation());
        active.remove(queue);
        virtualTime = Math.max(virtualTime, queue.virtualStart());
        queue.virtualStart(queue.virtualStart() + (double) request.cost() / Math.max(1, weight));
        queue.remove(request);
        if (queue.size() > 0) {
            active.add(queue);
        } else {
            removeIdle();
        }
    }

    private void removeIdle() {
        if (queues.size() > active.size() + MAXIMUM_IDLE_QUEUES) {
            queues.values()
                    .removeIf(queue -> queue.size() == 0 && queue.virtualStart() <= virtualTime);
        }
    }
}
