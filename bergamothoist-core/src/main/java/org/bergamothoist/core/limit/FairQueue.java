package org.bergamothoist.core.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * The organisations' queues for one model key, ordered by start-time fair queueing: with each
 * dispatched request, the virtual start of its organisation's queue advances by the request's
 * tokens divided by the organisation's weight.
 */
final class FairQueue {

    private static final Comparator<OrganisationQueue> BY_VIRTUAL_START =
            Comparator.<OrganisationQueue>comparingDouble(OrganisationQueue::virtualStart)
                    .thenComparingLong(OrganisationQueue::sequence);

    /** Number of empty queues above which those whose virtual start has passed are removed. */
    private static final int MAXIMUM_IDLE_QUEUES = 64;

    private final Map<OrganisationId, OrganisationQueue> queues = new HashMap<>();
    private final NavigableSet<OrganisationQueue> active = new TreeSet<>(BY_VIRTUAL_START);
    private double virtualTime;
    private long nextSequence;

    Collection<OrganisationQueue> active() {
        return active;
    }

    OrganisationQueue queueOf(OrganisationId organisation) {
        return queues.computeIfAbsent(
                organisation, key -> new OrganisationQueue(key, nextSequence++));
    }

    void add(QueuedRequest request) {
        OrganisationQueue queue = queueOf(request.request().organisation());
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
    boolean remove(QueuedRequest request) {
        OrganisationQueue queue = queues.get(request.request().organisation());
        if (queue == null || !queue.remove(request)) {
            return false;
        }
        if (queue.size() == 0) {
            active.remove(queue);
            removeIdle();
        }
        return true;
    }

    /** Removes a dispatched request and charges its tokens to the organisation. */
    void removeDispatched(QueuedRequest request, int weight) {
        OrganisationQueue queue = queues.get(request.request().organisation());
        active.remove(queue);
        virtualTime = Math.max(virtualTime, queue.virtualStart());
        queue.virtualStart(
                queue.virtualStart()
                        + (double) request.request().estimatedTokens() / Math.max(1, weight));
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
