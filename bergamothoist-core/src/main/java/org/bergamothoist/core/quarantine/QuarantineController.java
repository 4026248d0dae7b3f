package org.bergamothoist.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.ToIntFunction;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.time.Scheduler;

/**
 * Finds requests whose content crashes engines. Confined to the control thread.
 *
 * <p>When an engine is lost, the content of each request on it is suspect. A second loss with the
 * same content puts it into quarantine. Losses are known from this daemon's own observation, from
 * notices of peers and from the log, whichever comes first.
 */
public final class QuarantineController {

    /** Longest time for which an answer waits until peers know of a loss. */
    static final Duration SPREAD_LIMIT = Duration.ofSeconds(1);

    /** Fingerprints whose losses are kept; the least recently used is removed first. */
    private static final int MAXIMUM_FINGERPRINTS = 10_000;

    /** Losses kept that peers were notified of; the oldest is removed first. */
    private static final int MAXIMUM_LOSSES = 1_000;

    private final DaemonId self;
    private final ToIntFunction<Fingerprint> lossesInLog;
    private final SuspicionPublisher publisher;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Map<Fingerprint, LocalLosses> losses =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Fingerprint, LocalLosses> eldest) {
                    return size() > MAXIMUM_FINGERPRINTS;
                }
            };
    private final Map<Long, OpenNotice> openNotices = new HashMap<>();

    /** One report serves all requests that were on the same run of an engine. */
    private final Map<EngineLoss, SpreadLoss> spreadLosses =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<EngineLoss, SpreadLoss> eldest) {
                    return size() > MAXIMUM_LOSSES;
                }
            };

    private long nextNotice;

    /**
     * Creates a controller.
     *
     * @param lossesInLog distinct engine losses with a fingerprint that the log has recorded
     */
    public QuarantineController(
            DaemonId self,
            ToIntFunction<Fingerprint> lossesInLog,
            SuspicionPublisher publisher,
            Scheduler scheduler,
            InstantSource clock) {
        this.self = self;
        this.lossesInLog = lossesInLog;
        this.publisher = publisher;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    /** Spreads losses and releases to the other daemons. */
    public interface SuspicionPublisher {

        /** Sends the notice to all live peers and returns their names. */
        Collection<DaemonId> broadcast(PeerMessage.LossNotice notice);

        /** Appends the record to the log; completes when it is confirmed. */
        CompletionStage<?> append(LogRecord record);
    }

    /** Returns whether requests with this content are refused. */
    public boolean isQuarantined(Fingerprint fingerprint) {
        return lossCount(fingerprint) >= SharedState.QUARANTINE_THRESHOLD;
    }

    /** Returns whether the content was on a lost engine. */
    public boolean isSuspect(Fingerprint fingerprint) {
        return lossCount(fingerprint) > 0;
    }

    private int lossCount(Fingerprint fingerprint) {
        LocalLosses local = losses.get(fingerprint);
        if (local == null || local.expiresAt.isBefore(clock.instant())) {
            return lossesInLog.applyAsInt(fingerprint);
        }
        return Math.max(local.engines.size(), lossesInLog.applyAsInt(fingerprint));
    }

    /**
     * Records that an engine was lost with these contents and spreads it.
     *
     * @return completes when all live peers or the log have it, at the latest after {@link
     *     #SPREAD_LIMIT}
     */
    public CompletionStage<Void> reportLoss(
            TargetId target, EngineIncarnation incarnation, Set<Fingerprint> suspects) {
        if (suspects.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        EngineLoss loss = new EngineLoss(target, incarnation);
        SpreadLoss spread = spreadLosses.get(loss);
        if (spread != null && spread.suspects.containsAll(suspects)) {
            return spread.done;
        }
        CompletionStage<Void> done = spread(loss, suspects);
        spreadLosses.put(loss, new SpreadLoss(Set.copyOf(suspects), done));
        return done;
    }

    private CompletionStage<Void> spread(EngineLoss loss, Set<Fingerprint> suspects) {
        LogRecord.LossReport report =
                new LogRecord.LossReport(
                        loss.target(),
                        loss.incarnation(),
                        self,
                        suspects.stream().sorted().toList());
        record(report);
        long noticeId = nextNotice++;
        OpenNotice open = new OpenNotice();
        openNotices.put(noticeId, open);
        open.waitingFor.addAll(publisher.broadcast(new PeerMessage.LossNotice(noticeId, report)));
        publisher
                .append(report)
                .whenComplete(
                        (offset, failure) -> {
                            if (failure == null) {
                                scheduler.execute(() -> close(noticeId));
                            }
                        });
        scheduler.schedule(SPREAD_LIMIT, () -> close(noticeId));
        if (open.waitingFor.isEmpty()) {
            // Without a live peer only the log can carry the loss; the limit bounds the wait.
            open.waitingFor.add(self);
        }
        return open.spread;
    }

    /** Handles a peer's notice of a loss. */
    public void onNotice(PeerMessage.LossNotice notice) {
        record(notice.report());
    }

    /** Handles a peer's confirmation of a notice. */
    public void onAcknowledgement(DaemonId peer, PeerMessage.LossNoticeAck acknowledgement) {
        OpenNotice open = openNotices.get(acknowledgement.noticeId());
        if (open == null) {
            return;
        }
        open.waitingFor.remove(peer);
        if (open.waitingFor.isEmpty()) {
            close(acknowledgement.noticeId());
        }
    }

    private void close(long noticeId) {
        OpenNotice open = openNotices.remove(noticeId);
        if (open != null) {
            open.spread.complete(null);
        }
    }

    private void record(LogRecord.LossReport report) {
        Instant expiry = clock.instant().plus(SharedState.QUARANTINE_DURATION);
        EngineLoss loss = new EngineLoss(report.target(), report.incarnation());
        for (Fingerprint fingerprint : report.suspects()) {
            LocalLosses local = losses.computeIfAbsent(fingerprint, key -> new LocalLosses());
            local.engines.add(loss);
            local.expiresAt = expiry;
        }
    }

    /** Clears the suspicion of contents that completed without harm. */
    public void completed(Collection<Fingerprint> fingerprints) {
        List<Fingerprint> cleared = new ArrayList<>();
        for (Fingerprint fingerprint : fingerprints) {
            if (isSuspect(fingerprint) && !isQuarantined(fingerprint)) {
                losses.remove(fingerprint);
                cleared.add(fingerprint);
            }
        }
        if (!cleared.isEmpty()) {
            publisher.append(new LogRecord.QuarantineRelease(cleared, "completed"));
        }
    }

    /** Applies a release that the log has recorded. */
    public void onReleased(Collection<Fingerprint> fingerprints) {
        fingerprints.forEach(losses::remove);
    }

    /** One run of an engine that was lost. */
    private record EngineLoss(TargetId target, EngineIncarnation incarnation) {}

    /** A loss that peers have been told of. */
    private record SpreadLoss(Set<Fingerprint> suspects, CompletionStage<Void> done) {}

    private static final class LocalLosses {
        private final Set<EngineLoss> engines = new HashSet<>();
        private Instant expiresAt = Instant.MIN;
    }

    private static final class OpenNotice {
        private final Set<DaemonId> waitingFor = new HashSet<>();
        private final CompletableFuture<Void> spread = new CompletableFuture<>();
    }
}
