package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.time.Scheduler;

/**
 * The requests of all services that wait for room at a target, in this daemon. While targets have
 * room, each request is sent at once. Requests wait by priority, fairly between organisations
 * within a priority, and in order of arrival within an organisation. One that cannot be sent in
 * time is refused on arrival, or as soon as that shows.
 */
public final class AdmissionQueue {

    /** Interval between checks for room that reports show, and for requests that wait in vain. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(25);

    /** Maximum number of waiting requests of all services. */
    private static final int MAXIMUM_WAITING = 1_000;

    /** Maximum number of organisations whose next request is tried for each request sent. */
    private static final int MAXIMUM_HEADS_TRIED = 4;

    private final ToIntFunction<String> freeSlots;
    private final IntSupplier daemons;
    private final BooleanSupplier stopping;
    private final InstantSource clock;
    private final Scheduler scheduler;
    private final Map<String, ServiceBacklog> backlogs = new HashMap<>();
    private final Set<String> released = new HashSet<>();
    private int waiting;
    private boolean checkScheduled;

    /**
     * Creates an empty queue.
     *
     * @param freeSlots returns the number of free slots at a service's targets that is known here
     * @param daemons number of daemons that take callers' requests and see the same free slots
     * @param stopping whether the daemon is stopping, so that nothing waits any more
     */
    public AdmissionQueue(
            ToIntFunction<String> freeSlots,
            IntSupplier daemons,
            BooleanSupplier stopping,
            InstantSource clock,
            Scheduler scheduler) {
        this.freeSlots = freeSlots;
        this.daemons = daemons;
        this.stopping = stopping;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return waiting;
    }

    /**
     * Submits a request. Its handler is called within this call if the request can be sent or is
     * refused at once, otherwise later.
     */
    public AdmissionTicket submit(WaitRequest request, WaitHandler handler) {
        Instant now = clock.instant();
        ServiceBacklog backlog =
                backlogs.computeIfAbsent(request.service(), name -> new ServiceBacklog());
        Waiting entry = new Waiting(this, request, handler);
        boolean first = !backlog.hasWaitingBefore(request.priority());
        if (first && handler.trySend(false)) {
            entry.state(Waiting.State.SENT);
            backlog.addOutstanding(request.priority(), 1, now);
            return entry;
        }
        Optional<Refusal> refusal = refusal(backlog, request, now);
        if (refusal.isPresent()) {
            entry.state(Waiting.State.CLOSED);
            handler.refuse(refusal.get());
            return entry;
        }
        entry.state(Waiting.State.QUEUED);
        backlog.add(entry, now);
        waiting++;
        if (!first) {
            send(backlog, request.service());
        }
        scheduleCheck();
        return entry;
    }

    /** Returns why a request may not wait, if it may not; makes place for it otherwise. */
    private Optional<Refusal> refusal(ServiceBacklog backlog, WaitRequest request, Instant now) {
        if (stopping.getAsBoolean()) {
            return Optional.of(stoppingRefusal());
        }
        Duration wait = backlog.predictedWait(request, now);
        if (now.plus(wait).isAfter(request.latestSend())) {
            return Optional.of(refusal(backlog, request, wait, now));
        }
        if (waiting < MAXIMUM_WAITING) {
            return Optional.empty();
        }
        Optional<Waiting> victim = backlog.victim(request);
        if (victim.isEmpty()) {
            return Optional.of(refusal(backlog, request, wait, now));
        }
        refuse(victim.get(), refusal(backlog, victim.get().request(), wait, now));
        return Optional.empty();
    }

    private static Refusal refusal(
            ServiceBacklog backlog, WaitRequest request, Duration wait, Instant now) {
        return new Refusal(
                ErrorCode.LIMIT_EXCEEDED,
                "all targets are busy and "
                        + backlog.size()
                        + " requests wait, this one would for "
                        + wait.toMillis()
                        + " ms of the "
                        + Duration.between(now, request.latestSend()).toMillis()
                        + " ms that it can",
                backlog.nextRetry(request, wait, now));
    }

    private static Refusal stoppingRefusal() {
        return new Refusal(ErrorCode.STOPPING, "the daemon is stopping", RetrySpread.MINIMUM);
    }

    private void refuse(Waiting entry, Refusal refusal) {
        if (entry.state() == Waiting.State.QUEUED) {
            leave(entry);
            entry.handler().refuse(refusal);
        }
    }

    /**
     * Records that a request of this daemon has ended at a target of the service. Waiting requests
     * are sent after the current task, which may still handle that end.
     */
    public void onReleased(String service) {
        ServiceBacklog backlog = backlogs.get(service);
        if (backlog == null || backlog.size() == 0) {
            return;
        }
        backlog.pace().onReleased();
        if (released.add(service)) {
            scheduler.execute(
                    () -> {
                        released.remove(service);
                        send(backlog, service);
                    });
        }
    }

    private void send(ServiceBacklog backlog, String service) {
        Instant now = clock.instant();
        backlog.pace().renew(freeSlots.applyAsInt(service), daemons.getAsInt(), now);
        boolean sent = true;
        while (sent && backlog.pace().allowsSend()) {
            sent = sendOne(backlog, now);
        }
    }

    private boolean sendOne(ServiceBacklog backlog, Instant now) {
        List<Waiting> next = backlog.next(MAXIMUM_HEADS_TRIED);
        for (Waiting entry : next) {
            boolean overtaking = entry.priority() > next.get(next.size() - 1).priority();
            entry.state(Waiting.State.SENDING);
            boolean sent = entry.handler().trySend(overtaking);
            if (entry.state() == Waiting.State.CLOSED) {
                return true;
            }
            if (sent) {
                entry.state(Waiting.State.SENT);
                backlog.removeSent(entry, now);
                backlog.addOutstanding(entry.priority(), 1, now);
                backlog.pace().onSent();
                waiting--;
                return true;
            }
            entry.state(Waiting.State.QUEUED);
        }
        return false;
    }

    void leave(Waiting entry) {
        Instant now = clock.instant();
        Waiting.State previous = entry.state();
        entry.state(Waiting.State.CLOSED);
        ServiceBacklog backlog = backlogs.get(entry.request().service());
        if (previous == Waiting.State.SENT) {
            backlog.addOutstanding(entry.priority(), -1, now);
        } else if (previous != Waiting.State.CLOSED && backlog.remove(entry, now)) {
            waiting--;
        }
    }

    private void scheduleCheck() {
        if (!checkScheduled && waiting > 0) {
            checkScheduled = true;
            scheduler.schedule(CHECK_INTERVAL, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        for (String service : List.copyOf(backlogs.keySet())) {
            ServiceBacklog backlog = backlogs.get(service);
            if (stopping.getAsBoolean()) {
                backlog.all().forEach(entry -> refuse(entry, stoppingRefusal()));
            } else if (backlog.size() > 0) {
                send(backlog, service);
                refuseHopeless(backlog);
            }
        }
        scheduleCheck();
    }

    private void refuseHopeless(ServiceBacklog backlog) {
        Instant now = clock.instant();
        for (Waiting entry : backlog.hopeless(now)) {
            Duration wait = backlog.predictedWait(entry.request(), now);
            refuse(entry, refusal(backlog, entry.request(), wait, now));
        }
    }
}
