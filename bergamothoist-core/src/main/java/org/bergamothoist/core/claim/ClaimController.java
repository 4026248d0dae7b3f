package org.bergamothoist.core.claim;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.claim.ClaimResult.Granted;
import org.bergamothoist.core.claim.ClaimResult.HeldByOther;
import org.bergamothoist.core.claim.ClaimResult.IdentifierExpired;
import org.bergamothoist.core.claim.ClaimResult.LogUnavailable;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ApplyResult;
import org.bergamothoist.core.log.ApplyResult.ClaimsDecided;
import org.bergamothoist.core.log.ApplyResult.RefusedClaim;
import org.bergamothoist.core.log.LogRecord.ClaimBatch;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecord.ClaimOutcome;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailListener;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.time.Scheduler;

/**
 * Claims requests for one daemon incarnation by appending to the shared log. Confined to the
 * control thread.
 *
 * <p>A claim is only granted when the applied log shows it with the batch in which it was sent. At
 * most one release is ever appended for each grant: a second one could take effect late and release
 * a newer claim on the same request.
 */
public final class ClaimController implements LogTailListener {

    /** Time for which claims are collected for one append. */
    static final Duration BATCH_WINDOW = Duration.ofMillis(20);

    /** Minimum time between two appends, so that a daemon appends at most 10 times per second. */
    static final Duration APPEND_INTERVAL = Duration.ofMillis(100);

    /** Maximum number of claims, releases and outcomes in one append. */
    static final int MAXIMUM_BATCH_ENTRIES = 256;

    /** Maximum time by which a caller's clock may be ahead. */
    static final Duration MAXIMUM_CLOCK_SKEW = Duration.ofMinutes(1);

    private final DaemonId self;
    private final LogService log;
    private final LogTail tail;
    private final SharedState state;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final RandomGenerator random;

    private final Map<ClaimKey, PendingClaim> pendingClaims = new HashMap<>();
    private final Map<ClaimKey, Long> grantOffsets = new HashMap<>();
    private final AbandonedClaims abandonedClaims = new AbandonedClaims();
    private final Deque<PendingClaim> claimQueue = new ArrayDeque<>();
    private final Deque<ClaimKey> releaseQueue = new ArrayDeque<>();
    private final Deque<ClaimOutcome> outcomeQueue = new ArrayDeque<>();
    private Instant lastAppendAt = Instant.EPOCH;
    private boolean flushScheduled;

    /** A claim that has not been confirmed yet. */
    private static final class PendingClaim {
        private final ClaimKey key;
        private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

        /** Batch in which the claim was appended; null while it is queued. */
        private UUID batchId;

        private Scheduler.Cancellable deadline = () -> {};

        PendingClaim(ClaimKey key) {
            this.key = key;
        }
    }

    /** Creates a controller and registers it as a listener of the log tail. */
    public ClaimController(
            DaemonId self,
            LogService log,
            LogTail tail,
            SharedState state,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random) {
        this.self = self;
        this.log = log;
        this.tail = tail;
        this.state = state;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        tail.addListener(this);
    }

    /**
     * Claims a request. The result is {@link LogUnavailable} if the log is unreachable or the claim
     * is not confirmed within the deadline. If the claim is granted after that, it is released and
     * never used.
     */
    public CompletionStage<ClaimResult> claim(ClaimKey key, Duration deadline) {
        Optional<ClaimResult> refusal = refusal(key);
        if (refusal.isPresent()) {
            return CompletableFuture.completedFuture(refusal.get());
        }
        PendingClaim claim = new PendingClaim(key);
        pendingClaims.put(key, claim);
        claimQueue.add(claim);
        claim.deadline = scheduler.schedule(deadline, () -> abandon(claim));
        scheduleFlush();
        return claim.result;
    }

    /** Returns the result of a claim that is refused without an append, or empty. */
    private Optional<ClaimResult> refusal(ClaimKey key) {
        if (isOutsideDeduplicationWindow(key)) {
            return Optional.of(new IdentifierExpired());
        }
        Optional<ClaimState> existing = state.claim(key);
        if (existing.isPresent()) {
            return Optional.of(new HeldByOther(existing.get().answered()));
        }
        if (pendingClaims.containsKey(key)) {
            return Optional.of(new HeldByOther(false));
        }
        return tail.isReachable() ? Optional.empty() : Optional.of(new LogUnavailable());
    }

    private boolean isOutsideDeduplicationWindow(ClaimKey key) {
        Instant created = key.requestId().creationTime();
        Instant now = clock.instant();
        return created.isBefore(now.minus(SharedState.DEDUPLICATION_WINDOW))
                || created.isAfter(now.plus(MAXIMUM_CLOCK_SKEW))
                || state.isExpired(key);
    }

    /**
     * Releases a granted claim. Only allowed if no byte of the request was sent.
     *
     * @throws IllegalStateException if the claim is not granted or has ended
     */
    public void release(ClaimKey key) {
        queueRelease(key, endGrant(key));
    }

    private void queueRelease(ClaimKey key, long offset) {
        abandonedClaims.markReleased(key, offset);
        releaseQueue.add(key);
        scheduleFlush();
    }

    /**
     * Ends a granted claim after the request was sent. Only the outcome "answered" is recorded,
     * since a claim without an outcome already means that the outcome is unknown.
     *
     * @throws IllegalStateException if the claim is not granted or has ended
     */
    public void recordOutcome(ClaimKey key, boolean answered) {
        endGrant(key);
        if (answered) {
            outcomeQueue.add(new ClaimOutcome(key, true));
            scheduleFlush();
        }
    }

    /** Removes the grant and returns its log offset. */
    private long endGrant(ClaimKey key) {
        Long offset = grantOffsets.remove(key);
        if (offset == null) {
            throw new IllegalStateException(
                    "request is not claimed by this daemon: " + key.requestId());
        }
        return offset;
    }

    /** Returns the number of releases and outcomes that have not been appended to the log yet. */
    public int pendingAppends() {
        return releaseQueue.size() + outcomeQueue.size();
    }

    private void abandon(PendingClaim claim) {
        if (pendingClaims.remove(claim.key, claim)) {
            claimQueue.remove(claim);
            if (claim.batchId != null) {
                abandonedClaims.add(claim.key);
            }
            claim.result.complete(new LogUnavailable());
        }
    }

    private void scheduleFlush() {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        Instant now = clock.instant();
        Duration untilNextAppend = Duration.between(now, lastAppendAt.plus(APPEND_INTERVAL));
        Duration delay =
                untilNextAppend.compareTo(BATCH_WINDOW) > 0 ? untilNextAppend : BATCH_WINDOW;
        scheduler.schedule(delay, this::flush);
    }

    private void flush() {
        flushScheduled = false;
        if (!tail.isReachable()) {
            // Claims that were not handed to the log cannot be granted later, so their callers may
            // retry.
            List.copyOf(claimQueue).forEach(this::abandon);
            if (pendingAppends() > 0) {
                scheduleRetry();
            }
            return;
        }
        abandonedClaims.removeExpired(state::isExpired);
        append(nextBatch());
        if (!claimQueue.isEmpty() || pendingAppends() > 0) {
            scheduleFlush();
        }
    }

    private void scheduleRetry() {
        flushScheduled = true;
        scheduler.schedule(APPEND_INTERVAL, this::flush);
    }

    private ClaimBatch nextBatch() {
        UUID batchId = new UUID(random.nextLong(), random.nextLong());
        List<ClaimKey> claims = new ArrayList<>();
        List<ClaimKey> releases = new ArrayList<>();
        List<ClaimOutcome> outcomes = new ArrayList<>();
        while (claims.size() < MAXIMUM_BATCH_ENTRIES && !claimQueue.isEmpty()) {
            PendingClaim claim = claimQueue.remove();
            claim.batchId = batchId;
            claims.add(claim.key);
        }
        while (claims.size() + releases.size() < MAXIMUM_BATCH_ENTRIES && !releaseQueue.isEmpty()) {
            releases.add(releaseQueue.remove());
        }
        int claimsAndReleases = claims.size() + releases.size();
        while (claimsAndReleases + outcomes.size() < MAXIMUM_BATCH_ENTRIES
                && !outcomeQueue.isEmpty()) {
            outcomes.add(outcomeQueue.remove());
        }
        return new ClaimBatch(batchId, self, claims, releases, outcomes);
    }

    private void append(ClaimBatch batch) {
        boolean empty =
                batch.claims().isEmpty()
                        && batch.releases().isEmpty()
                        && batch.outcomes().isEmpty();
        if (empty) {
            return;
        }
        lastAppendAt = clock.instant();
        // Only the applied log decides on claims. The append's result, success or failure, just
        // triggers a read.
        send(batch).whenComplete((offset, failure) -> scheduler.execute(tail::readNow));
    }

    private CompletionStage<Long> send(ClaimBatch batch) {
        try {
            return log.append(batch);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    @Override
    public void onApplied(LogEntry entry, ApplyResult result) {
        if (result instanceof ClaimsDecided decided && decided.holder().equals(self)) {
            decided.granted().forEach(claim -> onGranted(decided.batchId(), claim));
            decided.refused().forEach(refused -> onRefused(decided.batchId(), refused));
        }
    }

    private void onGranted(UUID batchId, ClaimState claim) {
        PendingClaim pendingClaim = pendingClaims.get(claim.key());
        if (pendingClaim == null || !batchId.equals(pendingClaim.batchId)) {
            queueRelease(claim.key(), claim.offset());
            return;
        }
        abandonedClaims.remove(claim.key());
        grantOffsets.put(claim.key(), claim.offset());
        complete(pendingClaim, new Granted(claim.offset()));
    }

    private void onRefused(UUID batchId, RefusedClaim refused) {
        PendingClaim pendingClaim = pendingClaims.get(refused.key());
        if (pendingClaim == null || !batchId.equals(pendingClaim.batchId)) {
            return;
        }
        ClaimResult result =
                refused.existing()
                        .<ClaimResult>map(claim -> new HeldByOther(claim.answered()))
                        .orElseGet(IdentifierExpired::new);
        complete(pendingClaim, result);
    }

    private void complete(PendingClaim claim, ClaimResult result) {
        claim.deadline.cancel();
        pendingClaims.remove(claim.key);
        claim.result.complete(result);
    }

    @Override
    public void onRestored(long appliedOffset) {
        // The snapshot may have skipped the records that decided these claims.
        for (PendingClaim claim : List.copyOf(pendingClaims.values())) {
            if (claim.batchId != null) {
                claim.deadline.cancel();
                abandon(claim);
            }
        }
        abandonedClaims
                .unreleasedClaimsOf(self, state)
                .forEach(claim -> queueRelease(claim.key(), claim.offset()));
    }
}
