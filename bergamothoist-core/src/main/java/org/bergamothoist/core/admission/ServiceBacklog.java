package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The waiting requests of one service by priority, and the order in which they are sent. */
final class ServiceBacklog {

    /**
     * Of so many requests that are sent while less urgent ones wait, one is such a less urgent one.
     * It keeps these from starving, and inversions below 5 in 100.
     */
    private static final int SENDS_PER_LESS_URGENT = 25;

    private final NavigableMap<Integer, Level> levels = new TreeMap<>();
    private final ReleasePace pace = new ReleasePace();
    private int waiting;
    private int urgentSends;

    ReleasePace pace() {
        return pace;
    }

    int size() {
        return waiting;
    }

    /** Returns whether a request of the priority or a more urgent one waits. */
    boolean hasWaitingBefore(int priority) {
        return levels.headMap(priority, true).values().stream().anyMatch(level -> !level.isEmpty());
    }

    void add(Waiting request, Instant now) {
        level(request.priority(), now).add(request, now);
        waiting++;
    }

    /** Removes a request that was not sent; returns whether it was waiting. */
    boolean remove(Waiting request, Instant now) {
        boolean removed = level(request.priority(), now).remove(request, now);
        waiting -= removed ? 1 : 0;
        return removed;
    }

    void removeSent(Waiting request, Instant now) {
        boolean lessUrgentWaits =
                levels.tailMap(request.priority(), false).values().stream()
                        .anyMatch(level -> !level.isEmpty());
        boolean moreUrgentWaits = hasWaitingBefore(request.priority() - 1);
        level(request.priority(), now).removeSent(request, now);
        waiting--;
        if (moreUrgentWaits) {
            urgentSends = 0;
        } else if (lessUrgentWaits) {
            urgentSends++;
        }
    }

    private Level level(int priority, Instant now) {
        return levels.computeIfAbsent(priority, key -> new Level(now));
    }

    /**
     * Returns the requests of which the first one that can be sent is next; those of the most
     * urgent priority, and from time to time before them the one of the others that must be sent
     * first.
     *
     * @param maximum number of organisations whose requests are tried, so that one without a
     *     suitable target does not block the others
     */
    List<Waiting> next(int maximum) {
        List<Level> waitingLevels =
                levels.values().stream().filter(level -> !level.isEmpty()).toList();
        if (waitingLevels.isEmpty()) {
            return List.of();
        }
        if (urgentSends >= SENDS_PER_LESS_URGENT - 1 && waitingLevels.size() > 1) {
            Waiting earliest = null;
            for (Level level : waitingLevels.subList(1, waitingLevels.size())) {
                Waiting head = level.heads(1).get(0);
                if (earliest == null
                        || head.request().latestSend().isBefore(earliest.request().latestSend())) {
                    earliest = head;
                }
            }
            return Stream.concat(Stream.of(earliest), waitingLevels.get(0).heads(maximum).stream())
                    .toList();
        }
        return waitingLevels.get(0).heads(maximum);
    }

    /** Counts a request that was sent, or one that was sent and has ended. */
    void addOutstanding(int priority, int change, Instant now) {
        level(priority, now).addOutstanding(change);
    }

    /** Returns the number of outstanding requests that are not more urgent than the priority. */
    private int outstandingFrom(int priority) {
        return levels.tailMap(priority, true).values().stream().mapToInt(Level::outstanding).sum();
    }

    /** Returns the predicted time that a new request would wait. */
    Duration predictedWait(WaitRequest request, Instant now) {
        Level level = level(request.priority(), now);
        return level.predictedWait(
                level.costBefore(request),
                moreUrgentCost(request.priority()),
                outstandingFrom(request.priority()));
    }

    private double moreUrgentCost(int priority) {
        return levels.headMap(priority, false).values().stream().mapToLong(Level::cost).sum();
    }

    /** Returns the retry time of a request that would wait too long. */
    Duration nextRetry(WaitRequest request, Duration wait, Instant now) {
        return level(request.priority(), now).nextRetry(request, wait, now);
    }

    /** Returns the waiting requests that can no longer be sent in time. */
    List<Waiting> hopeless(Instant now) {
        List<Waiting> hopeless = new ArrayList<>();
        double moreUrgent = 0;
        for (Map.Entry<Integer, Level> entry : levels.entrySet()) {
            Level level = entry.getValue();
            level.rate().advance(now, !level.isEmpty());
            hopeless.addAll(level.hopeless(now, moreUrgent, outstandingFrom(entry.getKey())));
            moreUrgent += level.cost();
        }
        return hopeless;
    }

    List<Waiting> all() {
        List<Waiting> all = new ArrayList<>();
        levels.values().forEach(level -> level.forEach(all::add));
        return all;
    }

    /**
     * Returns the request that gives way to a new one if no more may wait: the newest of the least
     * urgent priority and the organisation that has the most waiting there. Empty if that is the
     * new one itself.
     */
    Optional<Waiting> victim(WaitRequest request) {
        Optional<Map.Entry<Integer, Level>> last =
                levels.descendingMap().entrySet().stream()
                        .filter(entry -> !entry.getValue().isEmpty())
                        .findFirst();
        return last.filter(
                        entry ->
                                entry.getKey() > request.priority()
                                        || entry.getKey() == request.priority()
                                                && !entry.getValue()
                                                        .isLongest(request.organisation()))
                .map(entry -> entry.getValue().newestOfLongest());
    }
}
