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
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Predicate;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.time.Scheduler;

/**
 * Identifies requests whose content crashes engines. Confined to the control thread.
 *
 * <p>When an engine is lost, the content of each request that it was running becomes suspect. A
 * second loss with the same content puts the content into quarantine. A loss is detected by this
 * daemon's own observation, by a notice of a peer or from the log, whichever comes first.
 */
public final class QuarantineController {

    /** Maximum time for which a response is delayed until all live peers know of a loss. */
    static final Duration MAXIMUM_ANNOUNCEMENT_TIME = Duration.ofSeconds(1);

    /** Maximum number of fingerprints whose losses are kept; see {@link SuspectContents}. */
    private static final int MAXIMUM_FINGERPRINTS = 10_000;

    /** Maximum number of announced losses that are kept; the oldest one is evicted. */
    private static final int MAXIMUM_ANNOUNCED_LOSSES = 1_000;

    private final DaemonId self;
    private final Function<Fingerprint, Optional<Suspicion>> suspicionInLog;
    private final Predicate<TargetId> leaving;
    private final LossPublisher publisher;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final SuspectContents contents;
    private final Map<Long, PendingNotice> pendingNotices = new HashMap<>();

    /**
     * Losses already announced, so that one report covers all requests on the same engine
     * incarnation.
     */
    private final Map<EngineLoss, AnnouncedLoss> announcedLosses =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<EngineLoss, AnnouncedLoss> eldest) {
                    return size() > MAXIMUM_ANNOUNCED_LOSSES;
                }
            };

    private long nextNoticeId;

    /**
     * Creates a controller.
     *
     * @param suspicionInLog returns the losses that the log records for a fingerprint
     * @param leaving whether the end of a target is planned
     */
    public QuarantineController(
            DaemonId self,
            Function<Fingerprint, Optional<Suspicion>> suspicionInLog,
            Predicate<TargetId> leaving,
            LossPublisher publisher,
            Scheduler scheduler,
            InstantSource clock) {
        this.self = self;
        this.suspicionInLog = suspicionInLog;
        this.leaving = leaving;
        this.publisher = publisher;
        this.scheduler = scheduler;
        this.clock = clock;
        this.contents =
                new SuspectContents(
                        SharedState.QUARANTINE_THRESHOLD,
                        SharedState.QUARANTINE_DURATION,
                        MAXIMUM_FINGERPRINTS,
                        clock);
    }

    /** Announces losses and quarantine releases to the other daemons. */
    public interface LossPublisher {

        /** Sends the notice to all live peers and returns their identifiers. */
        Collection<DaemonId> broadcast(PeerMessage.LossNotice notice);

        /** Appends the record to the log; the result completes when the append is confirmed. */
        CompletionStage<?> append(LogRecord record);
    }

    /** Returns whether requests with this content are refused. */
    public boolean isQuarantined(Fingerprint fingerprint) {
        return lossCount(fingerprint) >= SharedState.QUARANTINE_THRESHOLD;
    }

    /** Returns whether the content was running on an engine that was lost. */
    public boolean isSuspect(Fingerprint fingerprint) {
        return lossCount(fingerprint) > 0;
    }

    private int lossCount(Fingerprint fingerprint) {
        int inLog = suspicionInLog.apply(fingerprint).map(Suspicion::losses).orElse(0);
        return Math.max(contents.lossCount(fingerprint), inLog);
    }

    /**
     * Returns the name of a target's next loss, for targets that name no incarnation. Daemons that
     * know the same losses return the same name, so that a loss that several of them observe counts
     * once.
     */
    public EngineIncarnation nextIncarnation(TargetId target, Fingerprint fingerprint) {
        long known =
                contents.losses(fingerprint).stream()
                        .filter(loss -> loss.target().target().equals(target.value()))
                        .count();
        long inLog =
                suspicionInLog.apply(fingerprint).map(Suspicion::engines).orElse(List.of()).stream()
                        .filter(lost -> lost.target().equals(target))
                        .count();
        return new EngineIncarnation("run " + (Math.max(known, inLog) + 1));
    }

    /**
     * Records that a target was lost while running these contents, and announces the loss, unless
     * the target was leaving.
     *
     * @return completes when all live peers or the log have the loss, at the latest after {@link
     *     #MAXIMUM_ANNOUNCEMENT_TIME}
     */
    public CompletionStage<Void> reportLoss(
            TargetId target, EngineIncarnation incarnation, Set<Fingerprint> suspects) {
        if (suspects.isEmpty() || leaving.test(target)) {
            return CompletableFuture.completedFuture(null);
        }
        EngineLoss loss = new EngineLoss(target, incarnation);
        AnnouncedLoss announced = announcedLosses.get(loss);
        if (announced != null && announced.suspects.containsAll(suspects)) {
            return announced.done;
        }
        CompletionStage<Void> done = announce(loss, suspects);
        announcedLosses.put(loss, new AnnouncedLoss(Set.copyOf(suspects), done));
        return done;
    }

    private CompletionStage<Void> announce(EngineLoss loss, Set<Fingerprint> suspects) {
        LogRecord.LossReport report =
                new LogRecord.LossReport(
                        loss.target(),
                        loss.incarnation(),
                        self,
                        suspects.stream().sorted().toList());
        record(report);
        long noticeId = nextNoticeId++;
        PendingNotice notice = new PendingNotice();
        pendingNotices.put(noticeId, notice);
        notice.awaitedPeers.addAll(
                publisher.broadcast(new PeerMessage.LossNotice(noticeId, report)));
        publisher
                .append(report)
                .whenComplete(
                        (offset, failure) -> {
                            if (failure == null) {
                                scheduler.execute(() -> completeNotice(noticeId));
                            }
                        });
        scheduler.schedule(MAXIMUM_ANNOUNCEMENT_TIME, () -> completeNotice(noticeId));
        if (notice.awaitedPeers.isEmpty()) {
            // Without live peers, only the log or the time limit completes the announcement.
            notice.awaitedPeers.add(self);
        }
        return notice.done;
    }

    /** Handles a peer's notice of a loss. */
    public void onLossNotice(PeerMessage.LossNotice notice) {
        record(notice.report());
    }

    /** Handles a peer's acknowledgement of a notice. */
    public void onAcknowledgement(DaemonId peer, PeerMessage.LossNoticeAck acknowledgement) {
        PendingNotice notice = pendingNotices.get(acknowledgement.noticeId());
        if (notice == null) {
            return;
        }
        notice.awaitedPeers.remove(peer);
        if (notice.awaitedPeers.isEmpty()) {
            completeNotice(acknowledgement.noticeId());
        }
    }

    private void completeNotice(long noticeId) {
        PendingNotice notice = pendingNotices.remove(noticeId);
        if (notice != null) {
            notice.done.complete(null);
        }
    }

    private void record(LogRecord.LossReport report) {
        TargetLoss target = new TargetLoss(report.target().value(), report.incarnation().value());
        // Suspects are kept apart by reservations, so that each loss counts.
        Instant now = clock.instant();
        var loss = new SuspectContents.Loss(target, now, now, false);
        report.suspects().forEach(fingerprint -> contents.record(fingerprint, loss));
    }

    /**
     * Clears the suspicion of contents that an engine has completed without a crash. Contents in
     * quarantine stay there.
     */
    public void onCompleted(Collection<Fingerprint> fingerprints) {
        List<Fingerprint> cleared = new ArrayList<>();
        for (Fingerprint fingerprint : fingerprints) {
            if (isSuspect(fingerprint) && !isQuarantined(fingerprint)) {
                contents.clear(fingerprint);
                cleared.add(fingerprint);
            }
        }
        if (!cleared.isEmpty()) {
            publisher.append(new LogRecord.QuarantineRelease(cleared, "completed"));
        }
    }

    /** Applies a quarantine release from the log. */
    public void onReleased(Collection<Fingerprint> fingerprints) {
        fingerprints.forEach(contents::clear);
    }

    /** The loss of one incarnation of an engine. */
    private record EngineLoss(TargetId target, EngineIncarnation incarnation) {}

    /** A loss that was announced to peers. */
    private record AnnouncedLoss(Set<Fingerprint> suspects, CompletionStage<Void> done) {}

    /** A notice that has not been acknowledged by all live peers. */
    private static final class PendingNotice {
        private final Set<DaemonId> awaitedPeers = new HashSet<>();
        private final CompletableFuture<Void> done = new CompletableFuture<>();
    }
}
