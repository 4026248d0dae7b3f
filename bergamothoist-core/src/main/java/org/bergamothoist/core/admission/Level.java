package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bergamothoist.core.limit.DrainRate;
import org.bergamothoist.core.limit.FairQueue;
import org.bergamothoist.core.limit.OrganisationQueue;

/** The waiting requests of one service and priority, shared fairly between organisations. */
final class Level {

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * A waiting request is given up if it would be late with its predicted wait divided by this.
     * Without the margin three times as many requests are refused after they have waited, some of
     * them for a short deviation of the rate.
     */
    private static final int PREDICTION_MARGIN = 2;

    private final FairQueue<String, Waiting> queue = new FairQueue<>();
    private final RetrySpread retries = new RetrySpread();
    private final DrainRate rate;
    private long cost;
    private int outstanding;

    Level(Instant now) {
        rate = new DrainRate(now);
    }

    boolean isEmpty() {
        return queue.active().isEmpty();
    }

    /** Returns the work of the waiting requests. */
    long cost() {
        return cost;
    }

    /** Returns the number of requests that have been sent and have not ended. */
    int outstanding() {
        return outstanding;
    }

    void addOutstanding(int change) {
        outstanding += change;
    }

    DrainRate rate() {
        return rate;
    }

    void add(Waiting waiting, Instant now) {
        rate.advance(now, !isEmpty());
        queue.add(waiting);
        cost += waiting.cost();
    }

    /** Removes a request that was not sent; returns whether it was waiting. */
    boolean remove(Waiting waiting, Instant now) {
        rate.advance(now, !isEmpty());
        boolean removed = queue.remove(waiting);
        cost -= removed ? waiting.cost() : 0;
        return removed;
    }

    void removeSent(Waiting waiting, Instant now) {
        rate.advance(now, !isEmpty());
        rate.addDrained(waiting.cost());
        queue.removeDispatched(waiting, 1);
        cost -= waiting.cost();
    }

    /** Returns the next requests of the first organisations in fair order. */
    List<Waiting> heads(int maximum) {
        return queue.active().stream().limit(maximum).map(OrganisationQueue::head).toList();
    }

    void forEach(Consumer<Waiting> action) {
        queue.active().forEach(organisation -> organisation.forEach(action));
    }

    /** Returns the newest request of the organisation that has the most waiting. */
    Waiting newestOfLongest() {
        return longest().tail();
    }

    /** Returns whether the organisation has no fewer requests waiting than any other. */
    boolean isLongest(String organisation) {
        return longest().size() <= queue.queueOf(organisation).size();
    }

    private OrganisationQueue<String, Waiting> longest() {
        OrganisationQueue<String, Waiting> longest = null;
        for (OrganisationQueue<String, Waiting> each : queue.active()) {
            if (longest == null || each.size() > longest.size()) {
                longest = each;
            }
        }
        return longest;
    }

    /**
     * Returns the work that is done before a new request of the organisation: everything that
     * waits, or less if the organisation has less than its fair share of it.
     */
    double costBefore(WaitRequest request) {
        OrganisationQueue<String, Waiting> own = queue.queueOf(request.organisation());
        int organisations = queue.active().size() + (own.size() == 0 ? 1 : 0);
        return shared(own.costAhead(request.priority()) + request.cost(), organisations, cost);
    }

    private static double shared(double own, int organisations, double all) {
        return Math.min(all, own * organisations);
    }

    /** Returns the waiting requests that will not be sent in time, given the work ahead of them. */
    List<Waiting> hopeless(Instant now, double moreUrgentCost, int outstanding) {
        List<Waiting> hopeless = new ArrayList<>();
        int organisations = queue.active().size();
        for (OrganisationQueue<String, Waiting> own : queue.active()) {
            double[] ahead = {0};
            own.forEach(
                    waiting -> {
                        double before = shared(ahead[0], organisations, cost);
                        Instant sent =
                                now.plus(
                                        predictedWait(before, moreUrgentCost, outstanding)
                                                .dividedBy(PREDICTION_MARGIN));
                        if (sent.isAfter(waiting.request().latestSend())) {
                            hopeless.add(waiting);
                        } else {
                            ahead[0] += waiting.cost();
                        }
                    });
        }
        return hopeless;
    }

    /**
     * Returns the predicted time in which work of this level is done. The level's own rate includes
     * how often more urgent requests overtake; it is known after a second of waiting. Work is the
     * time that requests are outstanding, so that by Little's law the outstanding requests do as
     * many milliseconds of it in each millisecond.
     *
     * @param outstanding number of outstanding requests that are not more urgent
     */
    Duration predictedWait(double work, double moreUrgentCost, int outstanding) {
        double milliseconds = (work + moreUrgentCost) / Math.max(1, outstanding);
        Duration byOutstanding = Duration.ofMillis(Math.round(milliseconds));
        Duration byRate = ofSeconds(rate.secondsFor(work));
        return byRate.compareTo(byOutstanding) > 0 ? byRate : byOutstanding;
    }

    private static Duration ofSeconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLISECONDS_PER_SECOND));
    }

    Duration nextRetry(WaitRequest request, Duration wait, Instant now) {
        return retries.next(
                now,
                wait.minus(Duration.between(now, request.latestSend())),
                ofSeconds(rate.secondsFor(request.cost())),
                Duration.between(now, request.deadline()));
    }
}
