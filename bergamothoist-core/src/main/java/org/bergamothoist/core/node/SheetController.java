package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.log.LogAppender;
import org.bergamothoist.core.log.LogException;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.SheetDigest;
import org.bergamothoist.core.sheet.SheetRolloutTracker;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.sheet.SheetVerdict;

/** Submits sheets and tracks them until they are in force. Confined to the control thread. */
final class SheetController {

    private static final Duration APPEND_DEADLINE = Duration.ofSeconds(10);
    private static final int MAXIMUM_TRACKED_SHEETS = 100;

    private final SharedState state;
    private final LogAppender appender;
    private final SheetRolloutTracker rolloutTracker;
    private final Supplier<List<SheetRolloutTracker.DaemonView>> daemons;
    private final List<String> trackedDigests = new ArrayList<>();

    SheetController(
            SharedState state,
            LogAppender appender,
            InstantSource clock,
            Supplier<List<SheetRolloutTracker.DaemonView>> daemons) {
        this.state = state;
        this.appender = appender;
        this.rolloutTracker = new SheetRolloutTracker(clock);
        this.daemons = daemons;
    }

    CompletionStage<SheetStatus> submit(
            String office, String operator, List<OrganisationEntry> entries) {
        String digest = SheetDigest.of(entries);
        LogRecord.SheetSubmission submission =
                new LogRecord.SheetSubmission(digest, office, operator, entries);
        return appender.append(submission, APPEND_DEADLINE)
                .thenCompose(offset -> verdictStatus(digest));
    }

    private CompletionStage<SheetStatus> verdictStatus(String digest) {
        return status(digest)
                .map(CompletableFuture::completedFuture)
                .orElseGet(
                        () ->
                                CompletableFuture.failedFuture(
                                        new LogException(
                                                ErrorCode.INTERNAL,
                                                "no verdict for the appended sheet " + digest)));
    }

    Optional<SheetStatus> status(String digest) {
        return state.verdict(digest).map(this::track);
    }

    private SheetStatus track(SheetVerdict verdict) {
        if (!trackedDigests.contains(verdict.digest())) {
            trackedDigests.add(verdict.digest());
        }
        if (trackedDigests.size() > MAXIMUM_TRACKED_SHEETS) {
            trackedDigests.remove(0);
        }
        return rolloutTracker.status(verdict, state.roster(), daemons.get());
    }

    /** Updates the rollout of the tracked sheets; to be called about once a second. */
    void tick() {
        trackedDigests.removeIf(
                digest ->
                        status(digest)
                                .map(status -> status.reach() != SheetStatus.Reach.RECORDED)
                                .orElse(true));
    }
}
