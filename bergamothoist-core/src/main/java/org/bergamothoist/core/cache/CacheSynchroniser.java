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
 * Polls the engines assigned to this daemon for reports, cache events and, after gaps in the
 * events, snapshots; updates the cache index and notifies a report listener. At most one call to a
 * target is in flight. Confined to the control thread.
 */
public final class CacheSynchroniser {

    /** Maximum number of times that the polling interval doubles after consecutive failed calls. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 4;

    /** Number of polls after which events that a report mentioned count as lost instead of late. */
    private static final int POLLS_UNTIL_LOST = 4;

    private final SynchroniserSettings settings;
    private final DaemonId self;
    private final EngineClient client;
    private final CacheIndex index;
    private final EngineReportListener reportListener;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<TargetId, TargetPoller> pollers = new HashMap<>();

    /** Creates a synchroniser without targets. */
    public CacheSynchroniser(
            SynchroniserSettings settings,
            DaemonId self,
            EngineClient client,
            CacheIndex index,
            EngineReportListener reportListener,
            Scheduler scheduler,
            RandomGenerator random) {
        this.settings = settings;
        this.self = self;
        this.client = client;
        this.index = index;
        this.reportListener = reportListener;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Sets the known engines. This daemon polls those with its highest rendezvous scores. */
    public void setEngines(Collection<Target> engines) {
        Map<TargetId, Target> chosen =
                engines.stream()
                        .sorted(
                                Comparator.<Target>comparingLong(
                                                engine -> rendezvousScore(engine.id()))
                                        .reversed())
                        .limit(settings.polledTargets())
                        .collect(Collectors.toMap(Target::id, Function.identity()));
        Set<TargetId> removed =
                pollers.keySet().stream()
                        .filter(id -> !chosen.containsKey(id))
                        .collect(Collectors.toSet());
        removed.forEach(id -> pollers.remove(id).stop());
        chosen.forEach((id, target) -> pollers.computeIfAbsent(id, key -> startPolling(target)));
    }

    /** Stops polling all engines. */
    public void stop() {
        pollers.values().forEach(TargetPoller::stop);
        pollers.clear();
    }

    private long rendezvousScore(TargetId target) {
        long hash = 31L * self.name().hashCode() + target.value().hashCode();
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 32);
    }

    private TargetPoller startPolling(Target target) {
        TargetPoller poller = new TargetPoller(target);
        Duration initialDelay =
                Duration.ofNanos((long) (random.nextDouble() * settings.interval().toNanos()));
        scheduler.schedule(initialDelay, poller::poll);
        return poller;
    }

    /** Polls one target. */
    private final class TargetPoller {
        private final Target target;
        private boolean stopped;
        private int currentCall;
        private int backoffDoublings;
        private long connectionEpoch;
        private long awaitedSequence;
        private int pollsWaited;

        private TargetPoller(Target target) {
            this.target = target;
        }

        private void stop() {
            stopped = true;
        }

        private void poll() {
            if (!stopped) {
                connectionEpoch = index.connectionEpoch(target.id());
                callTarget(() -> client.report(target), this::onReport);
            }
        }

        private void onReport(EngineReport report) {
            if (!index.observeIncarnation(target.id(), report.incarnation(), connectionEpoch)) {
                scheduleNextPoll();
                return;
            }
            reportListener.onReport(target, report);
            long seen = index.lastSequence(target.id());
            detectLostEvents(report.lastEventSequence(), seen);
            if (index.needsResynchronisation(target.id())) {
                callTarget(() -> client.cacheSnapshot(target), this::onSnapshot);
            } else if (report.lastEventSequence() > seen) {
                callTarget(() -> client.cacheEvents(target, seen), this::onEvents);
            } else {
                scheduleNextPoll();
            }
        }

        /**
         * Requires a snapshot if the newest events that a report mentioned do not arrive within
         * several polls.
         */
        private void detectLostEvents(long reportedSequence, long seen) {
            if (seen >= awaitedSequence) {
                awaitedSequence = reportedSequence;
                pollsWaited = 0;
                return;
            }
            pollsWaited++;
            if (pollsWaited == POLLS_UNTIL_LOST) {
                index.requireResynchronisation(target.id());
                awaitedSequence = 0;
            }
        }

        private void onSnapshot(CacheSnapshot snapshot) {
            if (index.connectionEpoch(target.id()) == connectionEpoch) {
                index.onSnapshot(target.id(), snapshot);
            }
            scheduleNextPoll();
        }

        private void onEvents(CacheEventPage page) {
            if (index.connectionEpoch(target.id()) == connectionEpoch) {
                index.onEvents(target.id(), page);
            }
            scheduleNextPoll();
        }

        /** Makes a call whose answer is ignored if it arrives after the timeout. */
        private <T> void callTarget(Supplier<CompletionStage<T>> request, Consumer<T> handler) {
            int number = ++currentCall;
            scheduler.schedule(settings.callTimeout(), () -> onFailure(number));
            try {
                request.get()
                        .whenCompleteAsync(
                                (answer, failure) -> onCompletion(number, answer, failure, handler),
                                scheduler);
            } catch (PlatformException exception) {
                onFailure(number);
            }
        }

        private <T> void onCompletion(
                int number, T answer, Throwable failure, Consumer<T> handler) {
            if (failure != null) {
                onFailure(number);
                return;
            }
            if (number != currentCall || stopped) {
                return;
            }
            currentCall++;
            backoffDoublings = 0;
            handler.accept(answer);
        }

        private void onFailure(int number) {
            if (number != currentCall || stopped) {
                return;
            }
            currentCall++;
            backoffDoublings = Math.min(MAXIMUM_BACKOFF_DOUBLINGS, backoffDoublings + 1);
            scheduleNextPoll();
        }

        private void scheduleNextPoll() {
            double factor = 1 + settings.jitter() * (2 * random.nextDouble() - 1);
            long nanos = (long) (factor * settings.interval().toNanos() * (1L << backoffDoublings));
            scheduler.schedule(Duration.ofNanos(nanos), this::poll);
        }
    }
}
