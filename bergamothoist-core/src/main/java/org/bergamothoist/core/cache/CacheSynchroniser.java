package org.bergamothoist.core.cache;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.time.Scheduler;

/**
 * Polls reports, cache events and, after gaps, snapshots of the engines that fall to this daemon,
 * and feeds the index and a report listener. One call to a target is in flight at a time. Confined
 * to the control thread.
 */
public final class CacheSynchroniser {

    /** Rounds without an answer after which the interval no longer doubles. */
    private static final int MAXIMUM_DOUBLINGS = 4;

    /** Rounds after which events that a report named are taken for lost instead of late. */
    private static final int ROUNDS_UNTIL_LOST = 4;

    private final SynchroniserSettings settings;
    private final DaemonId self;
    private final EngineClient client;
    private final CacheIndex index;
    private final ReportListener reports;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<TargetId, Poll> polls = new HashMap<>();

    /** Creates a synchroniser without targets. */
    public CacheSynchroniser(
            SynchroniserSettings settings,
            DaemonId self,
            EngineClient client,
            CacheIndex index,
            ReportListener reports,
            Scheduler scheduler,
            RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.client = client;
        this.index = index;
        this.reports = reports;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Sets the engines; this daemon polls those with the highest rendezvous scores. */
    public void engines(Collection<Target> engines) {
        Map<TargetId, Target> chosen =
                engines.stream()
                        .sorted(
                                Comparator.<Target>comparingLong(engine -> score(engine.id()))
                                        .reversed())
                        .limit(settings.polledTargets())
                        .collect(Collectors.toMap(Target::id, Function.identity()));
        Set<TargetId> removed =
                polls.keySet().stream()
                        .filter(id -> !chosen.containsKey(id))
                        .collect(Collectors.toSet());
        removed.forEach(id -> polls.remove(id).stop());
        chosen.forEach((id, target) -> polls.computeIfAbsent(id, key -> start(target)));
    }

    /** Stops polling. */
    public void stop() {
        polls.values().forEach(Poll::stop);
        polls.clear();
    }

    private long score(TargetId target) {
        long hash = 31L * self.name().hashCode() + target.value().hashCode();
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 32);
    }

    private Poll start(Target target) {
        Poll poll = new Poll(target);
        Duration first =
                Duration.ofNanos((long) (random.nextDouble() * settings.interval().toNanos()));
        scheduler.schedule(first, poll::round);
        return poll;
    }

    /** The calls to one target. */
    private final class Poll {
        private final Target target;
        private boolean stopped;
        private int call;
        private int failures;
        private long connectionEpoch;
        private long awaitedSequence;
        private int awaitedRounds;

        private Poll(Target target) {
            this.target = target;
        }

        private void stop() {
            stopped = true;
        }

        private void round() {
            if (!stopped) {
                connectionEpoch = index.connectionEpoch(target.id());
                call(() -> client.report(target), this::onReport);
            }
        }

        private void onReport(EngineReport report) {
            if (!index.observe(target.id(), report.incarnation(), connectionEpoch)) {
                scheduleRound();
                return;
            }
            reports.onReport(target, report);
            long seen = index.lastSequence(target.id());
            detectLostTail(report.lastEventSequence(), seen);
            if (index.needsResynchronisation(target.id())) {
                call(() -> client.cacheSnapshot(target), this::onSnapshot);
            } else if (report.lastEventSequence() > seen) {
                call(() -> client.cacheEvents(target, seen), this::onEvents);
            } else {
                scheduleRound();
            }
        }

        /** Detects that the newest events named by a report were lost and not just late. */
        private void detectLostTail(long reportedSequence, long seen) {
            if (seen >= awaitedSequence) {
                awaitedSequence = reportedSequence;
                awaitedRounds = 0;
                return;
            }
            awaitedRounds++;
            if (awaitedRounds == ROUNDS_UNTIL_LOST) {
                index.requireResynchronisation(target.id());
                awaitedSequence = 0;
            }
        }

        private void onSnapshot(CacheSnapshot snapshot) {
            if (index.connectionEpoch(target.id()) == connectionEpoch) {
                index.onSnapshot(target.id(), snapshot);
            }
            scheduleRound();
        }

        private void onEvents(CacheEventPage page) {
            if (index.connectionEpoch(target.id()) == connectionEpoch) {
                index.onEvents(target.id(), page);
            }
            scheduleRound();
        }

        /** Makes a call whose answer counts only if it comes before the timeout. */
        private <T> void call(Supplier<CompletionStage<T>> request, Consumer<T> handler) {
            int number = ++call;
            scheduler.schedule(settings.callTimeout(), () -> fail(number));
            try {
                request.get()
                        .whenCompleteAsync(
                                (answer, failure) -> complete(number, answer, failure, handler),
                                scheduler);
            } catch (PlatformException exception) {
                fail(number);
            }
        }

        private <T> void complete(int number, T answer, Throwable failure, Consumer<T> handler) {
            if (failure != null) {
                fail(number);
                return;
            }
            if (number != call || stopped) {
                return;
            }
            call++;
            failures = 0;
            handler.accept(answer);
        }

        private void fail(int number) {
            if (number != call || stopped) {
                return;
            }
            call++;
            failures = Math.min(MAXIMUM_DOUBLINGS, failures + 1);
            scheduleRound();
        }

        private void scheduleRound() {
            double factor = 1 + settings.jitter() * (2 * random.nextDouble() - 1);
            long nanos = (long) (factor * settings.interval().toNanos() * (1L << failures));
            scheduler.schedule(Duration.ofNanos(nanos), this::round);
        }
    }
}
